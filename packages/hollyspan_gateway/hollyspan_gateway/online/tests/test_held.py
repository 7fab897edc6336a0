"""Requests that wait at the gateway for a slot."""

import pytest
from twisted.internet import defer

from hollyspan_gateway.online import held
from hollyspan_gateway.online.relay import Relay
from hollyspan_gateway.routes import RouteKind


@pytest.fixture
def start(gateway, reactor, helpers):
    """Return a function that starts a relay."""

    def begin(*, name="q", seconds=5.0, resume_after=None, **changes):
        relay = Relay(
            gateway=gateway,
            request=helpers.build_request(reactor=reactor),
            head=helpers.build_head(name, resume_after=resume_after),
            route=helpers.build_route(**changes),
            service="m",
            body=b"body",
            until=reactor.seconds() + seconds,
        )
        relay.ends = []
        relay.work = defer.ensureDeferred(relay.run())
        relay.work.addBoth(relay.ends.append)
        return relay

    return begin


@pytest.fixture
def fill(gateway):
    """Return a function that has a peer tell of requests everywhere."""

    def tell(online, *, batch=0):
        for upstream in gateway.directory.upstreams.values():
            upstream.take_told("p", (online, batch))

    return tell


def advance(reactor, seconds):
    for _ in range(round(seconds / held.LOOK_S)):
        reactor.advance(held.LOOK_S)


def test_what_would_be_late_waits_for_a_slot(start, fill, gateway, reactor):
    fill(14)
    start()
    advance(reactor, 0.5)
    assert gateway.pool.sent == []
    fill(8)
    advance(reactor, 0.1)
    # A queue that it would be late in as well.
    assert gateway.pool.sent == []
    fill(7)
    advance(reactor, 0.02)
    assert len(gateway.pool.sent) == 1
    assert gateway.held.waiting == {}


def test_one_that_can_be_in_time_passes_those_that_wait(
    start, fill, gateway, reactor
):
    fill(14)
    start(name="late")
    advance(reactor, 0.5)
    fill(9)
    start(name="fresh")
    assert len(gateway.pool.sent) == 1
    assert len(gateway.held.waiting) == 1


def test_the_one_whose_time_ends_first_goes_first(
    start, fill, gateway, reactor
):
    fill(14)
    longer = start(name="longer", seconds=9.0)
    shorter = start(name="shorter", seconds=4.0)
    fill(7)
    advance(reactor, 0.02)
    assert shorter.sends == 1
    assert longer.sends == 0


def test_one_goes_at_a_time(start, fill, gateway, reactor):
    fill(14)
    for name in "abc":
        start(name=name)
    fill(0)
    advance(reactor, 0.02)
    assert len(gateway.pool.sent) == 1
    advance(reactor, 0.04)
    assert len(gateway.pool.sent) == 3


def test_it_is_sent_before_its_time_is_over(start, fill, gateway, reactor):
    fill(14)
    start(seconds=5.0)
    advance(reactor, 2.9)
    assert gateway.pool.sent == []
    advance(reactor, 0.2)
    assert len(gateway.pool.sent) == 1


def test_a_client_that_goes_leaves_no_trace(start, fill, gateway, reactor):
    fill(14)
    relay = start()
    relay.work.cancel()
    assert gateway.held.waiting == {}
    fill(0)
    advance(reactor, 0.1)
    assert gateway.pool.sent == []
    assert gateway.held.look_call is None


def test_a_stopping_gateway_holds_nothing(start, fill, gateway, reactor):
    fill(14)
    start()
    gateway.drain()
    advance(reactor, 0.02)
    assert len(gateway.pool.sent) == 1
    start(name="next")
    assert len(gateway.pool.sent) == 2


@pytest.mark.parametrize(
    "changes",
    [{"resume_after": 3}, {"kind": RouteKind.ONCE}, {"aim": 9.0}],
)
def test_what_never_waits_here(start, fill, gateway, changes):
    fill(14)
    start(**changes)
    assert len(gateway.pool.sent) == 1


def test_no_more_than_a_limit_wait_here(start, fill, gateway, monkeypatch):
    monkeypatch.setattr(held, "MOST_HELD", 2)
    fill(14)
    for name in "abc":
        start(name=name)
    assert len(gateway.held.waiting) == 2
    assert len(gateway.pool.sent) == 1
