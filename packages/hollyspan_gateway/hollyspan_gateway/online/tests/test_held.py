"""Tests of requests that are held at the gateway."""

import pytest
from twisted.internet import defer

from hollyspan_gateway.online import held
from hollyspan_gateway.online.relay import Relay
from hollyspan_gateway.routes import RouteKind
from hollyspan_standins.memory import build_head

# Client attempt that resumes the stream of another one.
RESUMED = {"resume_after": 3, "resumes": "q0"}


@pytest.fixture
def start(gateway, reactor, helpers):
    """Return a function that starts a relay."""

    def begin(
        *, name="q", seconds=5.0, resume_after=None, resumes=None, **changes
    ):
        relay = Relay(
            gateway=gateway,
            request=helpers.build_request(reactor=reactor),
            head=helpers.build_head(
                name, resume_after=resume_after, resumes=resumes
            ),
            route=helpers.build_route(**changes),
            service="m",
            body=b"body",
            deadline=reactor.seconds() + seconds,
        )
        relay.ends = []
        relay.work = defer.ensureDeferred(relay.run())
        relay.work.addBoth(relay.ends.append)
        return relay

    return begin


@pytest.fixture
def fill(gateway):
    """Return a function that sets a peer's load at all upstreams."""

    def set_load(online, *, batch=0):
        for upstream in gateway.directory.upstreams.values():
            upstream.set_peer_load("p", (online, batch))

    return set_load


def advance(reactor, seconds):
    for _ in range(round(seconds / held.HOLD_CHECK_INTERVAL_S)):
        reactor.advance(held.HOLD_CHECK_INTERVAL_S)


def test_a_request_that_would_be_late_is_held(start, fill, gateway, reactor):
    fill(14)
    start()
    advance(reactor, 0.5)
    assert gateway.pool.sent == []
    fill(8)
    advance(reactor, 0.1)
    # The request would be late in this queue as well.
    assert gateway.pool.sent == []
    fill(7)
    advance(reactor, 0.02)
    assert len(gateway.pool.sent) == 1
    assert gateway.held.waiting == {}


def test_a_request_that_can_be_on_time_is_not_held(
    start, fill, gateway, reactor
):
    fill(14)
    start(name="late")
    advance(reactor, 0.5)
    fill(9)
    start(name="fresh")
    assert len(gateway.pool.sent) == 1
    assert len(gateway.held.waiting) == 1


def test_the_earliest_deadline_is_released_first(
    start, fill, gateway, reactor
):
    fill(14)
    longer = start(name="longer", seconds=9.0)
    shorter = start(name="shorter", seconds=4.0)
    fill(7)
    advance(reactor, 0.02)
    assert shorter.sends == 1
    assert longer.sends == 0


def test_one_request_is_released_at_a_time(start, fill, gateway, reactor):
    fill(14)
    for name in "abc":
        start(name=name)
    fill(0)
    advance(reactor, 0.02)
    assert len(gateway.pool.sent) == 1
    advance(reactor, 0.04)
    assert len(gateway.pool.sent) == 3


def test_a_held_request_is_sent_before_its_deadline(
    start, fill, gateway, reactor
):
    fill(14)
    start(seconds=5.0)
    advance(reactor, 2.9)
    assert gateway.pool.sent == []
    advance(reactor, 0.2)
    assert len(gateway.pool.sent) == 1


def test_a_cancelled_request_is_no_longer_held(start, fill, gateway, reactor):
    fill(14)
    relay = start()
    relay.work.cancel()
    assert gateway.held.waiting == {}
    fill(0)
    advance(reactor, 0.1)
    assert gateway.pool.sent == []
    assert gateway.held.check_call is None


def test_a_draining_gateway_holds_no_requests(start, fill, gateway, reactor):
    fill(14)
    start()
    gateway.drain()
    advance(reactor, 0.02)
    assert len(gateway.pool.sent) == 1
    start(name="next")
    assert len(gateway.pool.sent) == 2


@pytest.mark.parametrize(
    "changes",
    [RESUMED, {"kind": RouteKind.ONCE}, {"latency_target": 9.0}],
)
def test_requests_that_are_never_held(start, fill, gateway, changes):
    fill(14)
    upstream, *_ = gateway.directory.upstreams.values()
    gateway.stream_versions.announce(
        build_head("q0"), upstream.entry.version_key
    )
    start(**changes)
    assert len(gateway.pool.sent) == 1


def test_the_number_of_held_requests_is_limited(
    start, fill, gateway, monkeypatch
):
    monkeypatch.setattr(held, "MAX_HELD_REQUESTS", 2)
    fill(14)
    for name in "abc":
        start(name=name)
    assert len(gateway.held.waiting) == 2
    assert len(gateway.pool.sent) == 1
