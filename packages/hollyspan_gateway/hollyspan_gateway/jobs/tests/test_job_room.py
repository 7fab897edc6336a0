"""Tests of the memory that the descriptions of open jobs take."""

import gc
import io
import tracemalloc

import pytest
from twisted.internet import defer

from hollyspan_core.errors import OverloadedError
from hollyspan_gateway.jobs import body_limits
from hollyspan_gateway.jobs import Item
from hollyspan_gateway.jobs import Job
from hollyspan_gateway.jobs.records import build_end_key
from hollyspan_gateway.jobs.records import encode_job
from hollyspan_gateway.jobs.worker import Worker
from hollyspan_gateway.metrics.instruments import create_instruments
from hollyspan_gateway.peers import decode_message
from hollyspan_gateway.peers import encode_message
from hollyspan_gateway.peers import FleetMessage
from hollyspan_gateway.routes import RouteKind

LIMIT_BYTES = 80_000
ITEMS = 10
# Descriptions of ten items are some 9,000 bytes.
MAX_JOBS = 11
JOBS = 40


@pytest.fixture
def route(helpers):
    return helpers.build_route(
        host="h", prefix="/b/", kind=RouteKind.BATCH, max_attempts=3
    )


@pytest.fixture
def build_worker(build_gateway, route, monkeypatch):
    """Return a function that starts a gateway that runs items."""
    monkeypatch.setattr(
        body_limits, "MIN_DESCRIPTION_BYTES", LIMIT_BYTES, raising=False
    )

    def build(**options):
        options = {"memory_bytes": 8 * LIMIT_BYTES, **options}
        gateway = build_gateway(routes=[route], **options)
        gateway.worker = Worker(gateway=gateway)
        gateway.worker.start()
        return gateway

    return build


def build_job(name, *, now, items=ITEMS, length=10):
    return Job(
        identifier=name,
        host="h",
        path="/b/",
        submitted=now,
        due=now + 18.0,
        retained_until=now + 3600.0,
        items=[
            Item(
                identifier=f"{name}-{number}",
                path="/b/x".ljust(length, "x"),
                headers=[],
                body=b"B",
            )
            for number in range(items)
        ],
    )


@pytest.fixture
def submit(store, run, reactor):
    """Return a function that stores a job."""

    def create(name, **options):
        job = build_job(name, now=reactor.seconds(), **options)
        run(store.create(encode_job(job)))

    return create


def add_upstream(gateway, helpers):
    entry = helpers.build_entry("u1", port=1, slots=8)
    gateway.directory.update({"u1": entry})


def answer_all(gateway, helpers, reactor, *, seconds, first=0):
    """Answer each request at once for some time."""
    for _ in range(round(seconds / 0.1)):
        for connection in gateway.pool.sent[first:]:
            connection.answer(200, body=helpers.build_events(1, 1))
        first = len(gateway.pool.sent)
        reactor.advance(0.1)


def list_held(gateway):
    jobs = gateway.worker.catalogue.jobs
    return [name for name, job_state in jobs.items() if job_state is not None]


def count_results(wire):
    return sum(key.startswith("hs/r/") for key in wire.entries)


# Failure: a worker kept descriptions of the items of all open jobs of the
# fleet, so that it ended for its memory, and again at each start.
@pytest.mark.parametrize("is_restart", [False, True])
def test_descriptions_are_bounded_and_every_accepted_item_gets_its_result(
    build_worker, submit, reactor, helpers, wire, is_restart
):
    if not is_restart:
        gateway = build_worker(upstreams=())
    for number in range(JOBS):
        submit(f"j{number:02d}")
    if is_restart:
        gateway = build_worker(upstreams=())
    reactor.pump([0.1] * 10)
    held = list_held(gateway)
    assert 0 < len(held) <= MAX_JOBS
    assert held == [f"j{number:02d}" for number in range(len(held))]
    add_upstream(gateway, helpers)
    most = 0
    for _ in range(30):
        first = len(gateway.pool.sent)
        answer_all(gateway, helpers, reactor, seconds=1.0, first=first - 8)
        most = max(most, gateway.worker.catalogue.count_items())
    assert most <= MAX_JOBS * ITEMS
    assert count_results(wire) == JOBS * ITEMS
    assert len(gateway.pool.sent) == JOBS * ITEMS
    # The first parts that came with the watch have waited for their turn.
    assert wire.calls.count("read") == gateway.bodies.reads


# Failure: jobs that cannot run filled the room and held back all others.
def test_jobs_that_cannot_run_do_not_hold_back_others_for_good(
    build_worker, submit, reactor, helpers, wire
):
    gateway = build_worker(upstreams=())
    for number in range(12):
        submit(f"j{number:02d}")
        reactor.advance(0.2)
    before = len(list_held(gateway))
    assert before < 12
    reactor.pump([0.1] * 150)
    assert len(list_held(gateway)) == before + 1
    assert gateway.worker.catalogue.room.beyond == 1


def test_a_job_that_waits_can_be_ended_and_removed(
    build_worker, submit, reactor, store, run
):
    gateway = build_worker(upstreams=())
    for number in range(JOBS):
        submit(f"j{number:02d}")
    reactor.pump([0.1] * 5)
    run(store.create({build_end_key("j39"): b""}))
    reactor.pump([0.1] * 5)
    assert gateway.worker.catalogue.jobs["j39"].is_ended
    run(store.remove([f"hs/j/j{number:02d}" for number in range(20)]))
    run(store.remove([f"hs/j/j{number:02d}" for number in range(20, JOBS)]))
    reactor.pump([0.1] * 5)
    room = gateway.worker.catalogue.room
    assert gateway.worker.catalogue.jobs == {}
    assert (room.held_bytes, room.waiting, room.reading) == (0, {}, set())


# Failure: a record that could not be read kept the turn of the others.
def test_jobs_go_on_behind_records_that_cannot_be_read(
    build_worker, submit, reactor, store, run, helpers, wire
):
    for number in range(4):
        run(store.create({f"hs/j/bad{number}": b"\x01x"}))
    gateway = build_worker()
    submit("j")
    answer_all(gateway, helpers, reactor, seconds=3.0)
    assert count_results(wire) == ITEMS
    assert len(gateway.worker.catalogue.unreadable) == 4
    # One that is removed while it waits for its next turn is forgotten.
    room = gateway.worker.catalogue.room
    room.limit = 0
    reactor.pump([0.1] * 30)
    assert set(room.waiting) == {f"bad{number}" for number in range(4)}
    run(store.remove([f"hs/j/bad{number}" for number in range(4)]))
    reactor.pump([0.1] * 5)
    assert (room.waiting, room.reading) == ({}, set())
    assert set(gateway.worker.catalogue.jobs) == {"j"}


@pytest.fixture
def accept(helpers, reactor, route):
    """Return a function that submits a job at a gateway."""

    def start(gateway, name):
        gateway.dialect.decode_items = lambda body: build_job(
            name, now=reactor.seconds()
        ).items
        request = helpers.build_request(reactor=reactor, body=b"B")
        request.content = io.BytesIO(b"B")
        head = helpers.build_head(identifier=name)
        ends = []
        work = gateway.submissions.handle(request, head, route)
        defer.ensureDeferred(work).addBoth(ends.append)
        return request, ends

    return start


# Failure: fronts accepted jobs that no worker could hold.
def test_a_job_is_refused_before_it_is_stored_while_all_workers_are_full(
    build_worker, submit, reactor, accept, wire, helpers
):
    gateway = build_worker(upstreams=())
    for number in range(MAX_JOBS):
        submit(f"j{number:02d}")
        reactor.advance(0.2)
    stored = set(wire.entries)
    _, (failure,) = accept(gateway, "new")
    error = failure.check(OverloadedError) and failure.value
    assert (error.status, error.retry_after > 0) == (503, True)
    assert set(wire.entries) == stored
    # One that was accepted before is answered as before.
    again, _ = accept(gateway, "j00")
    assert again.status == 202
    add_upstream(gateway, helpers)
    answer_all(gateway, helpers, reactor, seconds=5.0)
    request, _ = accept(gateway, "new")
    assert request.status == 202
    assert gateway.submissions.without_room == 1


def test_a_front_asks_all_workers_that_it_hears(
    build_gateway, reactor, accept
):
    front = build_gateway(name="front", runs_batch=False)
    for name in ("w1", "w2"):
        front.peers.add({name: ("10.0.0.1", 1)})
    peers = list(front.peers.peers.values())

    def hear(*rooms):
        for peer, room in zip(peers, rooms):
            message = FleetMessage(
                sender=peer.key,
                incarnation=1,
                sequence=peer.sequence + 1,
                is_full=True,
                loads=[],
                heartbeat_seconds=0.3,
                runs_batch=True,
                reaches_store=True,
                job_room=room,
            )
            message = decode_message(encode_message(message))
            peer.apply(message, now=reactor.seconds())

    hear(0, 2048)
    assert accept(front, "j1")[1][0].check(OverloadedError)
    # A worker of an older build tells nothing.
    for number, rooms in enumerate([(0, None), (0, 100_000)]):
        hear(*rooms)
        assert accept(front, f"j-{number}")[0].status == 202


@pytest.mark.parametrize("items, length", [(10, 10), (200, 10), (200, 1_000)])
def test_the_room_that_is_counted_is_what_descriptions_take(
    build_worker, submit, reactor, items, length
):
    gateway = build_worker(upstreams=(), memory_bytes=80_000_000)
    gateway.bodies.cache.limit = 0
    submit("warm-up")
    reactor.pump([0.1] * 5)
    room = gateway.worker.catalogue.room
    for number in range(5):
        submit(f"j{number}", items=items, length=length)
    counted = room.held_bytes
    gc.collect()
    tracemalloc.start()
    reactor.pump([0.1] * 10)
    gc.collect()
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(list_held(gateway)) == 6
    assert 0.75 < (room.held_bytes - counted) / kept < 1.25


def test_room_is_on_the_metrics_address(build_worker, submit, reactor):
    gateway = build_worker(upstreams=())
    for number in range(JOBS):
        submit(f"j{number:02d}")
    reactor.pump([0.1] * 10)
    lines = create_instruments(gateway)().decode().splitlines()
    values = dict(line.rsplit(" ", 1) for line in lines if line[0] != "#")
    values = {name.partition("{")[0]: value for name, value in values.items()}
    held = float(values["hollyspan_job_descriptions_bytes"])
    assert LIMIT_BYTES <= held < 1.3 * LIMIT_BYTES
    assert float(values["hollyspan_jobs_waiting_for_room"]) >= 20
    assert float(values["hollyspan_job_descriptions_limit"]) == LIMIT_BYTES
    assert float(values["hollyspan_jobs_beyond_room"]) == 0
    assert float(values["hollyspan_submissions_without_room"]) == 0
