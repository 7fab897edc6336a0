"""Tests that the text of an item comes from one software version."""

import pytest

from hollyspan_core.errors import StreamLostError
from hollyspan_gateway.jobs.records import encode_job
from hollyspan_gateway.jobs.worker import Worker
from hollyspan_gateway.routes import RouteKind
from hollyspan_gateway.streams.notice import AMBIGUOUS_VERSION
from hollyspan_standins.memory import build_job

VERSIONS = {"u1": "v1", "u2": "v2", "u3": "v1", "u4": "v2"}


@pytest.fixture
def gateway(build_gateway, helpers):
    """A gateway that runs items on upstreams of two versions."""
    route = helpers.build_route(host="h", prefix="/b/", kind=RouteKind.BATCH)
    gateway = build_gateway(routes=[route], upstreams=())
    gateway.worker = Worker(gateway=gateway)
    gateway.worker.start()
    return gateway


@pytest.fixture
def list_upstreams(gateway, helpers, reactor):
    """Return a function that lists upstreams, as the store does."""

    def update(*names):
        entries = {
            name: helpers.build_entry(
                name, port=int(name[1:]), slots=1, version=VERSIONS[name]
            )
            for name in names
        }
        recheck_at = gateway.directory.update(entries)
        if recheck_at is not None:
            # Entries that vanish together are kept for a while.
            reactor.advance(recheck_at - reactor.seconds() + 0.1)
            gateway.directory.update(entries)

    return update


@pytest.fixture
def submit(store, run, reactor):
    """Return a function that stores a job with one item."""

    def create():
        job = build_job("j", tokens=[1], submitted=reactor.seconds())
        run(store.create(encode_job(job)))
        reactor.advance(0.2)

    return create


def read_send(gateway, number=-1):
    """Return version, name and first event of a send, by default the last."""
    headers = gateway.pool.sent[number].headers
    name = headers[b"upstream"].decode()
    return VERSIONS[name], name, headers[b"resume"]


def break_off(gateway, reactor, helpers, *, events):
    connection = gateway.pool.last
    body = helpers.build_events(1, events)
    connection.answer(200, body=body, is_complete=False)
    connection.exchange.on_failure(StreamLostError("connection closed"))
    reactor.advance(0.5)


@pytest.mark.parametrize("first", ["u1", "u2"])
def test_an_item_goes_on_at_the_version_of_its_text(
    gateway, list_upstreams, submit, reactor, helpers, first
):
    list_upstreams(first)
    submit()
    version, _, _ = read_send(gateway)
    list_upstreams(*VERSIONS)
    break_off(gateway, reactor, helpers, events=3)
    assert read_send(gateway)[::2] == (version, b"3")


def test_an_item_starts_over_when_the_version_of_its_text_is_gone(
    gateway, list_upstreams, submit, reactor, helpers
):
    list_upstreams("u1")
    submit()
    connection = gateway.pool.last
    connection.answer(200, body=helpers.build_events(1, 3), is_complete=False)
    list_upstreams("u2")
    connection.exchange.on_failure(StreamLostError("connection closed"))
    reactor.advance(0.5)
    assert read_send(gateway) == ("v2", "u2", b"None")
    gateway.pool.last.answer(200, body=helpers.build_events(1, 2))
    (job_state,) = gateway.worker.catalogue.list_incomplete() or (None,)
    assert (
        job_state is None or job_state.items["ji0"].result.output == b"t1\nt2"
    )


def test_an_item_waits_for_its_version_as_long_as_its_text_took(
    gateway, list_upstreams, submit, reactor, helpers
):
    list_upstreams("u1")
    submit()
    list_upstreams("u1", "u2")
    # The only upstream of its version is full.
    gateway.directory.upstreams["u1"].set_peer_load("p", (1, 0))
    break_off(gateway, reactor, helpers, events=100)
    for _ in range(20):
        reactor.advance(0.1)
    assert len(gateway.pool.sent) == 1
    for _ in range(8):
        reactor.advance(0.1)
    assert len(gateway.pool.sent) == 2
    assert read_send(gateway) == ("v2", "u2", b"None")


def test_an_item_whose_version_has_a_place_again_goes_on(
    gateway, list_upstreams, submit, reactor, helpers
):
    list_upstreams("u1")
    submit()
    list_upstreams("u1", "u2")
    upstream = gateway.directory.upstreams["u1"]
    upstream.set_peer_load("p", (1, 0))
    break_off(gateway, reactor, helpers, events=100)
    upstream.set_peer_load("p", (0, 0))
    reactor.advance(0.2)
    assert read_send(gateway) == ("v1", "u1", b"100")


def test_a_long_text_of_a_version_that_is_gone_is_dropped_at_once(
    gateway, list_upstreams, submit, reactor, helpers
):
    list_upstreams("u1")
    submit()
    list_upstreams("u1", "u2")
    gateway.directory.note_reported_departure(
        gateway.directory.upstreams["u1"].entry.incarnation_key
    )
    break_off(gateway, reactor, helpers, events=100)
    assert read_send(gateway) == ("v2", "u2", b"None")


def test_an_item_that_has_started_over_may_begin_at_any_version(
    gateway, list_upstreams, submit, reactor, helpers
):
    list_upstreams("u1")
    submit()
    break_off(gateway, reactor, helpers, events=3)
    (state,) = gateway.worker.running.values()
    assert state.version is not None
    state.discard_output()
    assert state.version is None


def test_an_item_starts_over_when_its_version_breaks_every_run(
    gateway, list_upstreams, submit, reactor, helpers
):
    list_upstreams("u1")
    submit()
    list_upstreams("u1", "u2")
    break_off(gateway, reactor, helpers, events=3)
    # The only upstream of its version breaks off each run before an event.
    for _ in range(40):
        version, _, _ = read_send(gateway)
        if version == "v2":
            break
        gateway.pool.last.exchange.on_failure(
            StreamLostError("connection closed")
        )
        reactor.advance(0.5)
    assert read_send(gateway) == ("v2", "u2", b"None")


def test_an_item_avoids_the_upstream_that_has_broken_off_its_last_run(
    gateway, list_upstreams, submit, reactor, helpers
):
    list_upstreams("u1")
    submit()
    list_upstreams("u1", "u3")
    # The other upstream of its version is the more loaded one.
    for upstream in gateway.directory.upstreams.values():
        upstream.entry.slots = 8
    gateway.directory.upstreams["u3"].set_peer_load("p", (5, 0))
    break_off(gateway, reactor, helpers, events=3)
    assert read_send(gateway) == ("v1", "u3", b"3")


@pytest.mark.parametrize("delay", [0.05, 0.2, 1.0, 3.0])
def test_a_text_does_not_go_on_at_the_next_process(
    gateway, list_upstreams, submit, reactor, helpers, delay
):
    list_upstreams("u1")
    submit()
    connection = gateway.pool.last
    body = helpers.build_events(1, 40)
    connection.answer(200, body=body, is_complete=False)
    gateway.pool.unreachable.add(("10.0.0.1", 1))
    connection.exchange.on_failure(StreamLostError("connection reset"))
    advance(reactor, delay)
    gateway.pool.unreachable.clear()
    advance(reactor, 5.0)
    later = [read_send(gateway, n) for n in range(1, len(gateway.pool.sent))]
    assert set(later) == {("v1", "u1", b"None")}


def test_a_text_that_has_gone_on_at_the_next_process_is_dropped(
    gateway, list_upstreams, submit, reactor, helpers
):
    list_upstreams("u1")
    submit()
    list_upstreams("u1", "u3")
    break_off(gateway, reactor, helpers, events=3)
    assert read_send(gateway) == ("v1", "u3", b"3")
    connection = gateway.pool.last
    connection.answer(200, body=helpers.build_events(4, 6), is_complete=False)
    (state,) = gateway.worker.running.values()
    assert len(state.event_data) == 6
    # A peer tells late that the process had ended before.
    upstream = gateway.directory.upstreams["u3"]
    gateway.incarnations.note_told(
        upstream.entry.incarnation_key, at=connection.opened_at
    )
    assert connection.is_cancelled
    assert state.event_data == []
    assert state.version is None


def test_a_text_begun_at_the_next_process_is_of_no_known_version(
    gateway, list_upstreams, submit, reactor, helpers
):
    list_upstreams("u1")
    gateway.incarnations.note_refused(("10.0.0.1", 1))
    submit()
    gateway.pool.last.answer(
        200, body=helpers.build_events(1, 3), is_complete=False
    )
    (state,) = gateway.worker.running.values()
    assert state.version == AMBIGUOUS_VERSION
    list_upstreams("u1", "u3")
    gateway.pool.last.exchange.on_failure(StreamLostError("reset"))
    advance(reactor, 1.0)
    assert read_send(gateway)[2] == b"None"


def advance(reactor, seconds):
    for _ in range(round(seconds / 0.01)):
        reactor.advance(0.01)
