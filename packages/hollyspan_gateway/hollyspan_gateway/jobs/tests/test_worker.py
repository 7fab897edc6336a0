"""Tests of items with failures, preemption, outages and changes of owner."""

import types

import pytest

from hollyspan_core.errors import ConfigurationInvalidError
from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import StreamLostError
from hollyspan_gateway.jobs import Item
from hollyspan_gateway.jobs import Job
from hollyspan_gateway.jobs.records import build_end_key
from hollyspan_gateway.jobs.records import build_job_key
from hollyspan_gateway.jobs.records import build_results_prefix
from hollyspan_gateway.jobs.records import decode_result
from hollyspan_gateway.jobs.records import encode_job
from hollyspan_gateway.jobs.records import PARTS_PREFIX
from hollyspan_gateway.jobs.worker import Worker
from hollyspan_gateway.peers import FleetMessage
from hollyspan_gateway.peers import Peer
from hollyspan_gateway.routes import RouteKind

OTHER_WORKER = "0" * 16


@pytest.fixture
def batch_route(helpers):
    return helpers.build_route(
        host="h", prefix="/b/", kind=RouteKind.BATCH, max_attempts=3
    )


@pytest.fixture
def build_worker(build_gateway, batch_route):
    """Return a function that starts a gateway that runs items."""

    def build(**options):
        gateway = build_gateway(routes=[batch_route], **options)
        gateway.worker = Worker(gateway=gateway)
        gateway.worker.start()
        return gateway

    return build


@pytest.fixture
def submit(store, run, reactor):
    """Return a function that stores a job."""

    def create(count=1, *, name="j", due=18.0):
        now = reactor.seconds()
        job = Job(
            identifier=name,
            host="h",
            path="/b/",
            submitted=now,
            due=now + due,
            retained_until=now + 60.0,
            items=[
                Item(
                    identifier=f"{name}{number}",
                    path="/b/x",
                    headers=[],
                    body=b"",
                )
                for number in range(count)
            ],
        )
        run(store.create(encode_job(job)))
        reactor.advance(0.2)

    return create


def list_results(wire, name="j"):
    """Return the stored results by item."""
    prefix = build_results_prefix(name)
    results = [
        decode_result(key, entry.content)
        for key, entry in wire.entries.items()
        if key.startswith(prefix)
    ]
    return {
        result.identifier: (result.is_done, result.output)
        for result in results
    }


def test_item_is_run_and_its_output_stored(
    build_worker, submit, wire, helpers
):
    gateway = build_worker()
    submit()
    gateway.pool.last.answer(200, body=helpers.build_events(1, 3))
    assert list_results(wire) == {"j0": (True, b"t1\nt2\nt3")}


def test_broken_run_is_resumed_after_the_last_event(
    build_worker, submit, wire, helpers, reactor
):
    gateway = build_worker()
    submit()
    first = gateway.pool.last
    first.answer(200, body=helpers.build_events(1, 2), is_complete=False)
    first.exchange.on_failure(StreamLostError("reset"))
    reactor.advance(0.5)
    second = gateway.pool.last
    assert second.headers[b"resume"] == b"2"
    second.answer(200, body=helpers.build_events(3, 4))
    assert list_results(wire) == {"j0": (True, b"t1\nt2\nt3\nt4")}


def test_resumed_run_with_a_gap_is_not_stored(
    build_worker, submit, wire, helpers, reactor
):
    gateway = build_worker()
    submit()
    gateway.pool.last.answer(
        200, body=helpers.build_events(1, 2), is_complete=False
    )
    gateway.pool.last.exchange.on_failure(StreamLostError("reset"))
    reactor.advance(0.5)
    gateway.pool.last.answer(200, body=helpers.build_events(4, 5))
    assert list_results(wire) == {}


def test_stalled_run_is_restarted(build_worker, submit, helpers, reactor):
    gateway = build_worker()
    submit()
    first = gateway.pool.last
    first.answer(200, body=helpers.build_events(1, 2), is_complete=False)
    reactor.pump([0.05] * 48)
    assert not first.is_cancelled
    reactor.pump([0.05] * 6)
    assert first.is_cancelled
    reactor.advance(0.5)
    assert gateway.pool.last.headers[b"resume"] == b"2"


def test_unprocessable_item_is_given_up_at_once(build_worker, submit, wire):
    gateway = build_worker()
    submit()
    gateway.pool.last.answer(422)
    assert list_results(wire) == {"j0": (False, b"")}
    assert len(gateway.pool.sent) == 1


def test_failing_item_is_given_up_after_max_attempts(
    build_worker, submit, wire, reactor
):
    gateway = build_worker()
    submit()
    for attempt in range(3):
        assert list_results(wire) == {}
        assert len(gateway.pool.sent) == attempt + 1
        gateway.pool.last.answer(500)
        reactor.advance(0.5)
    assert list_results(wire) == {"j0": (False, b"")}
    reactor.advance(5.0)
    assert len(gateway.pool.sent) == 3


def test_refused_run_does_not_count_as_an_attempt(
    build_worker, submit, wire, reactor, helpers
):
    gateway = build_worker()
    submit()
    for _ in range(5):
        gateway.pool.last.answer(503, headers=[(b"not-run", b"1")])
        reactor.advance(4.0)
    assert list_results(wire) == {}
    gateway.pool.last.answer(200, body=helpers.build_events(1, 1))
    assert list_results(wire) == {"j0": (True, b"t1")}


@pytest.mark.parametrize("fault", ["replies_to_lose", "writes_to_lose"])
def test_result_is_stored_once_when_store_replies_are_lost(
    build_worker, submit, wire, reactor, helpers, fault
):
    gateway = build_worker()
    submit()
    setattr(wire, fault, 6)
    gateway.pool.last.answer(200, body=helpers.build_events(1, 1))
    for _ in range(20):
        reactor.advance(0.5)
    assert list_results(wire) == {"j0": (True, b"t1")}
    assert len(gateway.pool.sent) == 1


def test_result_is_stored_after_an_outage(
    build_worker, submit, wire, reactor, helpers
):
    gateway = build_worker()
    submit()
    wire.is_down = True
    gateway.pool.last.answer(200, body=helpers.build_events(1, 1))
    for _ in range(10):
        reactor.advance(0.5)
    assert list_results(wire) == {}
    wire.is_down = False
    for _ in range(4):
        reactor.advance(0.5)
    assert list_results(wire) == {"j0": (True, b"t1")}
    assert len(gateway.pool.sent) == 1


def test_no_item_is_started_without_the_store(build_worker, submit, reactor):
    gateway = build_worker()
    gateway.upstreams_mirror.is_connected = False
    submit()
    reactor.advance(1.0)
    assert gateway.pool.sent == []


def test_ending_a_job_cancels_its_items(
    build_worker, submit, store, run, reactor, helpers
):
    gateway = build_worker()
    submit(3)
    assert len(gateway.pool.sent) == 3
    run(store.create({build_end_key("j"): b""}))
    assert all(each.is_cancelled for each in gateway.pool.sent)
    reactor.advance(2.0)
    assert len(gateway.pool.sent) == 3


def test_online_requests_preempt_items(build_worker, submit, reactor):
    gateway = build_worker(upstreams=("u1",), slots=4)
    submit(3, due=5.0)
    upstream = gateway.directory.upstreams["u1"]
    assert upstream.batch == 3
    with gateway.placement.track_online(upstream):
        assert upstream.batch == 3
        with gateway.placement.track_online(upstream):
            assert upstream.batch == 2
            with gateway.placement.track_online(upstream):
                with gateway.placement.track_online(upstream):
                    assert upstream.batch == 0
    reactor.advance(0.2)
    assert upstream.batch == 3


def test_items_yield_after_a_grace_where_speeds_are_told(
    build_worker, submit, reactor
):
    gateway = build_worker(upstreams=("u1",), slots=4)
    submit(3, due=5.0)
    upstream = gateway.directory.upstreams["u1"]
    upstream.speed.note_told(1.0, now=reactor.seconds())
    for _ in range(3):
        with (
            gateway.placement.track_online(upstream),
            gateway.placement.track_online(upstream),
        ):
            reactor.advance(0.05)
            assert upstream.batch == 3
    with (
        gateway.placement.track_online(upstream),
        gateway.placement.track_online(upstream),
    ):
        reactor.advance(0.11)
        assert upstream.batch == 2


def test_the_pace_of_an_item_is_measured(
    build_worker, submit, helpers, reactor
):
    gateway = build_worker(upstreams=("u1",), slots=4)
    upstream = gateway.directory.upstreams["u1"]
    upstream.speed.note_told(1.0, now=reactor.seconds())
    submit(due=5.0)
    reactor.advance(0.4)
    gateway.pool.last.answer(200, body=helpers.build_events(1, 20))
    ((pace, runs),) = gateway.placement.speeds.paces.averages.values()
    assert runs == 1
    assert pace == pytest.approx(0.02)


def test_several_items_are_preempted_at_once(build_worker, submit):
    # Cancelling a run changes the load, which calls preempt_items again.
    gateway = build_worker(upstreams=("u1",), slots=6)
    submit(6, due=5.0)
    upstream = gateway.directory.upstreams["u1"]
    assert upstream.batch == 6
    upstream.set_peer_load("p", (4, 0))
    gateway.worker.preempt_items(upstream)
    assert upstream.batch == 2
    assert sum(each.is_cancelled for each in gateway.pool.sent) == 4


def test_preempted_item_keeps_its_events(
    build_worker, submit, reactor, helpers
):
    gateway = build_worker(upstreams=("u1",), slots=1)
    submit(due=5.0)
    gateway.pool.last.answer(
        200, body=helpers.build_events(1, 7), is_complete=False
    )
    upstream = gateway.directory.upstreams["u1"]
    with gateway.placement.track_online(upstream):
        assert upstream.batch == 0
    reactor.advance(0.2)
    assert gateway.pool.last.headers[b"resume"] == b"7"


def test_preempted_item_does_not_flap(build_worker, submit, reactor):
    gateway = build_worker(upstreams=("u1",), slots=1)
    submit(due=5.0)
    upstream = gateway.directory.upstreams["u1"]
    for _ in range(20):
        with gateway.placement.track_online(upstream):
            reactor.advance(0.01)
        reactor.advance(0.01)
    assert len(gateway.pool.sent) <= 4


def test_new_worker_runs_only_items_without_a_result(
    build_worker, submit, wire, helpers, reactor
):
    first = build_worker()
    submit(4)
    for connection in first.pool.sent[:3]:
        connection.answer(200, body=helpers.build_events(1, 1))
    first.worker.stop()
    second = build_worker()
    reactor.advance(0.2)
    assert len(second.pool.sent) == 1
    second.pool.last.answer(200, body=helpers.build_events(1, 1))
    assert len(list_results(wire)) == 4


def test_workers_share_the_items(build_worker, submit, reactor):
    gateways = [build_worker(name=name) for name in ("w1", "w2")]
    names = [gateway.peers.identifier for gateway in gateways]
    for gateway in gateways:
        gateway.list_workers = lambda: names
    submit(12, due=5.0)
    counts = [len(gateway.pool.sent) for gateway in gateways]
    assert sum(counts) == 12
    assert 0 not in counts


def test_items_of_a_failed_worker_are_taken_over(
    build_worker, submit, reactor
):
    gateway = build_worker()
    gateway.list_workers = lambda: [gateway.peers.identifier, OTHER_WORKER]
    submit(12, due=5.0)
    started = len(gateway.pool.sent)
    assert started < 12
    gateway.list_workers = lambda: [gateway.peers.identifier]
    gateway.update_membership()
    reactor.advance(0.2)
    assert len(gateway.pool.sent) == 12


def store_result(wire, item):
    """Store a result as another worker does."""
    key = f"{build_results_prefix('j')}{item}"
    wire.change({key: bytes(16) + b"done\nt1"})


# Failure: a worker that had stood still ran items again whose owners had
# stored a result meanwhile.
def test_items_with_results_are_not_taken_over_after_a_pause(
    build_worker, submit, reactor, wire
):
    gateway = build_worker()
    gateway.list_workers = lambda: [gateway.peers.identifier, OTHER_WORKER]
    submit(12, due=5.0)
    sent = {
        connection.headers[b"id"].decode() for connection in gateway.pool.sent
    }
    for number in range(12):
        if f"j{number}" not in sent:
            store_result(wire, f"j{number}")
    # No membership check comes before the next round.
    gateway.list_workers = lambda: [gateway.peers.identifier]
    reactor.advance(5.0)
    assert {
        connection.headers[b"id"].decode() for connection in gateway.pool.sent
    } == sent


# Failure: the same for a job that was submitted during the pause.
def test_items_of_an_older_job_are_run_only_without_a_result(
    build_worker, submit, reactor, wire
):
    gateway = build_worker()
    gateway.worker.catalogue.mirror.stop()
    submit(3)
    reactor.advance(3.0)
    store_result(wire, "j0")
    store_result(wire, "j1")
    gateway.worker.catalogue.mirror.is_stopped = False
    gateway.worker.catalogue.mirror.start()
    reactor.advance(0.5)
    assert [connection.headers[b"id"] for connection in gateway.pool.sent] == [
        b"j2"
    ]


def test_item_in_flight_at_a_peer_is_not_started(
    build_worker, submit, reactor
):
    gateway = build_worker()
    gateway.list_claimed_items = lambda: frozenset(claimed)
    claimed = []
    submit(2, name="k")
    keys = [state.key for state in gateway.worker.running.values()]
    assert len(keys) == 2
    claimed += [
        state.key
        for job_state in gateway.worker.catalogue.jobs.values()
        for state in job_state.items.values()
    ]
    for connection in gateway.pool.sent:
        connection.exchange.on_failure(StreamLostError("reset"))
    reactor.advance(2.0)
    assert len(gateway.pool.sent) == 2


def test_retiring_worker_drains(build_worker, submit, helpers, reactor):
    gateway = build_worker()
    submit(1)
    drained = []
    gateway.worker.retire(on_drained=lambda: drained.append(True))
    submit(1, name="k")
    assert len(gateway.pool.sent) == 1
    assert drained == []
    gateway.pool.last.answer(200, body=helpers.build_events(1, 1))
    assert drained == [True]


def test_expired_job_is_removed(build_worker, submit, wire, helpers, reactor):
    gateway = build_worker()
    submit(2)
    for connection in list(gateway.pool.sent):
        connection.answer(200, body=helpers.build_events(1, 1))
    reactor.pump([1.0] * 200)
    assert len(list_results(wire)) == 2
    reactor.pump([1.0] * 80)
    assert list_results(wire) == {}
    assert not [key for key in wire.entries if key.startswith("hs/j/")]
    assert gateway.worker.catalogue.jobs == {}


def test_item_is_given_up_after_its_retention_time_and_clock_skew(
    build_worker, submit, wire, reactor, helpers
):
    gateway = build_worker(upstreams=())
    submit()
    reactor.pump([1.0] * 60)
    assert list_results(wire) == {}
    gateway.directory.update({"u": helpers.build_entry("u")})
    reactor.pump([1.0] * 2)
    assert list_results(wire) == {}
    reactor.pump([1.0] * 6)
    assert list_results(wire) == {"j0": (False, b"")}


def test_items_without_a_route_are_given_up(
    build_worker, submit, helpers, wire, reactor
):
    gateway = build_worker()
    gateway.routes = helpers.build_table([])
    gateway.configuration_mirror.start()
    submit()
    reactor.advance(0.2)
    assert list_results(wire) == {"j0": (False, b"")}


@pytest.fixture
def build_watching_worker(build_worker, batch_route, helpers, wire):
    """Return a function that starts a worker that watches its routes.

    The configuration in the store is ``routes`` with the batch route,
    ``none`` without routes, or one that cannot be read.
    """

    def decode(entry):
        content = entry.content.decode()
        if content not in ("routes", "none"):
            raise ConfigurationInvalidError("unreadable")
        routes = [batch_route] if content == "routes" else []
        return helpers.build_table(routes, revision=entry.revision)

    def build():
        wire.change({"configuration": bytes(16) + b"none"})
        gateway = build_worker()
        gateway.routes = None
        gateway.dialect.decode_configuration = decode
        gateway.configuration_mirror.start()
        return gateway

    return build


# Failure: a worker that has not read a new route yet gave its items up.
def test_items_wait_for_a_route_that_is_newer_than_the_workers_copy(
    build_watching_worker, submit, wire, reactor, helpers
):
    gateway = build_watching_worker()
    gateway.configuration_mirror.stop()
    wire.change({"configuration": bytes(16) + b"routes"})
    submit()
    reactor.advance(1.0)
    assert list_results(wire) == {}
    gateway.configuration_mirror.is_stopped = False
    gateway.configuration_mirror.start()
    reactor.advance(1.0)
    gateway.pool.last.answer(200, body=helpers.build_events(1, 2))
    assert list_results(wire) == {"j0": (True, b"t1\nt2")}


def test_items_whose_route_has_ended_are_given_up_after_a_single_read(
    build_watching_worker, submit, wire, reactor
):
    build_watching_worker()
    reactor.advance(0.2)
    listings = wire.calls.count("read_page")
    submit(3)
    reactor.advance(1.0)
    assert list_results(wire) == dict.fromkeys(
        ("j0", "j1", "j2"), (False, b"")
    )
    assert wire.calls.count("read_page") == listings + 1


# Failure: items of a route that only a newer build can read are given up.
def test_items_wait_while_the_newest_configuration_cannot_be_read(
    build_watching_worker, submit, wire, reactor
):
    build_watching_worker()
    wire.change({"configuration": bytes(16) + b"from a newer build"})
    submit()
    reactor.pump([0.2] * 20)
    assert list_results(wire) == {}
    wire.change({"configuration": bytes(16) + b"none"})
    reactor.pump([0.2] * 5)
    assert list_results(wire) == {"j0": (False, b"")}


def test_an_item_goes_on_at_a_leaving_upstream_and_waiting_ones_elsewhere(
    build_worker, submit, reactor, wire, helpers
):
    gateway = build_worker(slots=2)
    submit()
    first = gateway.pool.last
    first.answer(
        200,
        headers=[(b"leaving", b"1")],
        body=helpers.build_events(1, 1),
        is_complete=False,
    )
    submit(2, name="k")
    reactor.advance(0.5)
    assert len(gateway.pool.sent) == 3
    assert all(each.address != first.address for each in gateway.pool.sent[1:])
    first.exchange.on_data(helpers.build_events(2, 2))
    first.exchange.on_end()
    assert list_results(wire) == {"j0": (True, b"t1\nt2")}


def limit_upstreams(gateway, reactor, names, *, rate=2.0):
    for name in names:
        gateway.placement.rate_limits.note_answer(
            gateway.directory.upstreams[name], rate
        )
    # The shares are computed first.
    reactor.advance(0.1)
    reactor.advance(1.1)


def test_items_use_limited_upstreams_as_far_as_these_allow(
    build_worker, submit, reactor
):
    gateway = build_worker()
    limit_upstreams(gateway, reactor, ["u1"], rate=1.0)
    submit(5)
    limited = gateway.directory.upstreams["u1"].entry.address
    addresses = [sent.address for sent in gateway.pool.sent]
    assert len(addresses) == 5
    assert addresses.count(limited) == 1
    assert addresses[0] == limited


def test_items_share_the_limits_of_a_service_without_other_upstreams(
    build_worker, submit, reactor, helpers
):
    gateway = build_worker()
    limit_upstreams(gateway, reactor, ["u1", "u2"])
    submit(30)
    reactor.advance(0.1)
    started = len(gateway.pool.sent)
    begun = set()
    for _ in range(15):
        reactor.advance(0.1)
        for connection in set(gateway.pool.sent) - begun:
            connection.answer(
                200, headers=[(b"limit", b"2.0")], is_complete=False
            )
            begun.add(connection)
        for connection in begun:
            connection.exchange.on_data(b": comment\n\n")
    # Two upstreams with two requests a second each.
    assert 4 <= len(gateway.pool.sent) - started <= 6


@pytest.mark.parametrize("status", (200, 500))
def test_a_run_whose_answer_does_not_end_is_cut_off(
    build_worker, submit, reactor, status
):
    gateway = build_worker()
    submit(1)
    connection = gateway.pool.last
    connection.answer(status, is_complete=False)
    for _ in range(20):
        if not connection.is_cancelled:
            connection.exchange.on_data(b": comment\n\n" * 100_000)
    assert connection.is_cancelled
    assert list_results(gateway.store.wire) == {}


# Failure: an upstream that sent a byte now and then held an item for ever.
@pytest.mark.parametrize("status", (200, 500))
def test_a_run_without_events_is_cut_off(
    build_worker, submit, helpers, reactor, status
):
    gateway = build_worker()
    submit(1)
    first = gateway.pool.last
    first.answer(status, is_complete=False)
    if status == 200:
        first.exchange.on_data(helpers.build_events(1, 2))
    for _ in range(40):
        if not first.is_cancelled:
            first.exchange.on_data(b": comment\n\n")
            reactor.advance(0.9)
    assert first.is_cancelled
    reactor.advance(1.0)
    assert gateway.pool.last is not first


def test_a_run_with_slow_events_goes_on(
    build_worker, submit, helpers, reactor, wire
):
    gateway = build_worker()
    submit(1)
    connection = gateway.pool.last
    connection.answer(200, is_complete=False)
    for number in range(1, 50):
        connection.exchange.on_data(helpers.build_events(number, number))
        reactor.advance(0.9)
    connection.end()
    assert [done for done, _ in list_results(wire).values()] == [True]


# Failure: a record that cannot be read ended the reading of jobs without a
# word, or kept a read of its results from an answer.
def test_a_job_that_cannot_be_read_stops_no_other_job(
    build_worker, submit, wire, helpers, reactor
):
    gateway = build_worker()
    wire.change({"hs/j/odd": bytes(16) + b"\x01no record"})
    wire.change({"hs/j/empty": bytes(16)})
    wire.change({"hs/j/part": bytes(16) + b"\x02first of two"})
    reactor.advance(0.5)
    submit()
    reactor.advance(0.5)
    gateway.pool.last.answer(200, body=helpers.build_events(1, 1))
    assert list_results(wire) == {"j0": (True, b"t1")}


def test_items_without_a_known_route_are_given_up_after_their_retention_time(
    build_watching_worker, submit, wire, reactor
):
    build_watching_worker()
    wire.change({"configuration": bytes(16) + b"from a newer build"})
    submit()
    reactor.pump([0.5] * 120)
    assert list_results(wire) == {}
    reactor.pump([0.5] * 12)
    assert list_results(wire) == {"j0": (False, b"")}


# Failure: an item that HTTP does not allow to be sent was tried again each
# 0.15 s, with a new connection each time.
def test_an_item_that_cannot_be_sent_is_tried_rarely_and_blames_no_upstream(
    build_worker, submit, reactor
):
    gateway = build_worker()
    attempts = []

    async def refuse(address, *, timeout=1.0, identifier=None):
        attempts.append(address)
        raise InvalidRequestError("a header is not valid")

    gateway.pool.acquire = refuse
    submit()
    reactor.pump([0.05] * 600)
    assert 3 < len(attempts) < 20
    upstreams = gateway.directory.upstreams.values()
    assert not any(upstream.failures for upstream in upstreams)


# Failure: items whose upstreams had been silent a few times were not run for
# up to ten seconds, as if they had ended these.
def test_an_item_is_run_again_soon_after_silences(
    build_worker, submit, reactor, wire, helpers
):
    gateway = build_worker()
    submit()
    for _ in range(12):
        sent = len(gateway.pool.sent)
        # The run is abandoned after 2.5 s.
        reactor.pump([0.1] * 30)
        assert len(gateway.pool.sent) > sent
    assert len(gateway.pool.sent) < 40
    while gateway.pool.last.is_cancelled:
        reactor.advance(0.1)
    gateway.pool.last.answer(200, body=helpers.build_events(1, 1))
    assert list_results(wire) == {"j0": (True, b"t1")}


# Failure: a stopping process failed at an item that the cancelling of another
# one had preempted, and waited until it was killed.
def test_stopping_cancels_runs_that_preempt_each_other(build_worker, submit):
    gateway = build_worker(upstreams=("u1",), slots=6)
    submit(6, due=5.0)
    upstream = gateway.directory.upstreams["u1"]
    upstream.set_peer_load("p", (4, 0))
    gateway.worker.stop()
    assert upstream.batch == 0


# Failure: an error at the start of one item held back all items behind it in
# the order, in each round.
def test_an_item_that_cannot_be_started_holds_back_no_other_item(
    build_worker, submit, reactor, wire, helpers
):
    gateway = build_worker()
    placement = gateway.worker.placement

    def choose(state, service, *, is_urgent):
        if state.item.identifier == "j0":
            raise ValueError("no place can be computed")
        return placement.choose(state, service, is_urgent=is_urgent)

    gateway.worker.placement = types.SimpleNamespace(
        choose=choose, begin_round=placement.begin_round
    )
    submit(3)
    reactor.pump([0.1] * 5)
    assert len(gateway.pool.sent) == 2
    for connection in list(gateway.pool.sent):
        connection.answer(200, body=helpers.build_events(1, 1))
    gateway.worker.placement = placement
    reactor.pump([0.1] * 12)
    gateway.pool.last.answer(200, body=helpers.build_events(1, 1))
    assert len(list_results(wire)) == 3


# Failure: a worker whose watch of the jobs had fallen silent did not learn of
# new jobs, nor of the ends of others, until the watch timed out after 16 s.
def test_jobs_are_read_when_a_peer_knows_newer_ones(
    build_worker, submit, reactor, wire
):
    gateway = build_worker()
    wire.waiting, lost_watches = [], wire.waiting
    submit(2)
    assert gateway.pool.sent == []
    gateway.refresh.compare_revisions(
        Peer(key=1, address=("10.0.0.7", 3)),
        FleetMessage(
            sender=1,
            incarnation=1,
            sequence=1,
            is_full=True,
            loads=[],
            jobs=wire.revision,
        ),
    )
    reactor.pump([0.1] * 15)
    assert len(gateway.pool.sent) == 2
    assert lost_watches


# Failure: a job whose record could not be read once was never run by the
# worker that had read it.
def test_a_job_whose_record_lacks_a_part_once_is_run(
    build_worker, wire, reactor, helpers
):
    gateway = build_worker()
    first, rest = encode_job_in_parts(reactor.seconds())
    part = f"{PARTS_PREFIX}j/1"
    wire.change({build_job_key("j"): bytes(16) + b"\x02" + first})
    reactor.pump([0.1] * 5)
    assert gateway.pool.sent == []
    wire.change({part: bytes(16) + rest})
    reactor.pump([0.1] * 40)
    gateway.pool.last.answer(200, body=helpers.build_events(1, 1))
    assert list_results(wire) == {"j0": (True, b"t1")}


# Failure: a job that was removed while it could not be read was not read when
# it came again.
def test_a_job_that_is_removed_unread_is_read_when_it_comes_again(
    build_worker, submit, wire, reactor
):
    gateway = build_worker()
    wire.change({build_job_key("j"): bytes(16) + b"\x01no record"})
    reactor.pump([0.1] * 5)
    wire.change({}, removed=[build_job_key("j")])
    reactor.pump([0.1] * 5)
    assert not gateway.worker.catalogue.jobs
    submit(1)
    reactor.pump([0.1] * 5)
    assert len(gateway.pool.sent) == 1
    reactor.pump([0.1] * 40)
    assert len(gateway.worker.catalogue.jobs["j"].items) == 1


def encode_job_in_parts(now):
    """Return the two parts of the record of a job with one item."""
    job = Job(
        identifier="j",
        host="h",
        path="/b/",
        submitted=now,
        due=now + 18.0,
        retained_until=now + 60.0,
        items=[Item(identifier="j0", path="/b/x", headers=[], body=b"")],
    )
    (content,) = encode_job(job).values()
    return content[1:9], content[9:]


# Failure: a worker that had no configuration yet counted as one that runs its
# share of the items.
def test_a_worker_without_a_configuration_is_no_worker_for_its_peers(
    build_worker,
):
    gateway = build_worker()
    assert gateway.describe()["runs_batch"]
    gateway.routes = None
    assert not gateway.describe()["runs_batch"]
    assert gateway.list_workers() == []


# Failure: the result of an item was not stored when its run could not be
# counted.
def test_a_result_is_stored_whatever_its_measurement_does(
    build_worker, submit, wire, helpers
):
    gateway = build_worker()
    submit()

    def fail(**values):
        raise ValueError("not a time")

    gateway.worker.times = types.SimpleNamespace(observe=fail)
    gateway.pool.last.answer(200, body=helpers.build_events(1, 1))
    assert list_results(wire) == {"j0": (True, b"t1")}
    assert gateway.worker.running == {}


# Failure: an item ran twice whose result a peer had stored that had run it,
# since its owner began it as soon as the peer no longer named it.
def test_an_item_that_a_peer_has_run_is_looked_up_first(
    build_worker, submit, reactor, wire
):
    gateway = build_worker()
    claimed = []
    gateway.list_claimed_items = lambda: frozenset(claimed)
    submit(2)
    (job_state,) = gateway.worker.catalogue.list_incomplete()
    claimed += [state.key for state in job_state.items.values()]
    for connection in gateway.pool.sent:
        connection.exchange.on_failure(StreamLostError("reset"))
    reactor.pump([0.1] * 10)
    assert len(gateway.pool.sent) == 2
    store_result(wire, "j0")
    claimed.clear()
    reactor.pump([0.1] * 5)
    assert [
        connection.headers[b"id"] for connection in gateway.pool.sent[2:]
    ] == [b"j1"]


# Failure: results were looked up in each round while the store was away.
def test_lookups_wait_while_the_store_does_not_answer(
    build_worker, submit, reactor, wire
):
    gateway = build_worker()
    claimed = []
    gateway.list_claimed_items = lambda: frozenset(claimed)
    submit(2)
    (job_state,) = gateway.worker.catalogue.list_incomplete()
    claimed += [state.key for state in job_state.items.values()]
    for connection in gateway.pool.sent:
        connection.exchange.on_failure(StreamLostError("reset"))
    reactor.pump([0.1] * 10)
    claimed.clear()
    wire.is_down = True
    reactor.pump([0.1] * 40)
    assert 2 <= wire.calls.count("read") <= 10
    wire.is_down = False
    reactor.pump([0.1] * 12)
    assert len(gateway.pool.sent) == 4


# Failure: each waiting item walked all upstreams in each round of starts while
# none had a place.
def test_places_are_looked_for_once_for_all_items_that_wait(
    build_worker, submit, reactor, monkeypatch
):
    gateway = build_worker(upstreams=("u1",), slots=2)
    submit(40)
    started = len(gateway.pool.sent)
    walks = []
    list_usable = gateway.directory.list_usable

    def count_walk(service):
        walks.append(service)
        return list_usable(service)

    monkeypatch.setattr(
        type(gateway.directory),
        "list_usable",
        lambda directory, service: count_walk(service),
    )
    gateway.worker.start_items()
    few = len(walks)
    assert len(gateway.pool.sent) == started
    submit(80, name="k")
    walks.clear()
    gateway.worker.start_items()
    assert len(gateway.pool.sent) == started
    assert len(walks) == few
