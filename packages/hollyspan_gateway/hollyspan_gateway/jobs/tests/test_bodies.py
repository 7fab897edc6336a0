"""Tests of the bodies of items that a process keeps and reads."""

import gc
import random
import types

import pytest
from twisted.internet import defer

from hollyspan_gateway.clock import wait
from hollyspan_gateway.gateway import Gateway
from hollyspan_gateway.jobs import bodies
from hollyspan_gateway.jobs import catalogue
from hollyspan_gateway.jobs import Item
from hollyspan_gateway.jobs import ItemResult
from hollyspan_gateway.jobs import Job
from hollyspan_gateway.jobs.records import build_end_key
from hollyspan_gateway.jobs.records import build_result_key
from hollyspan_gateway.jobs.records import build_results_prefix
from hollyspan_gateway.jobs.records import decode_result
from hollyspan_gateway.jobs.records import encode_job
from hollyspan_gateway.jobs.records import encode_result
from hollyspan_gateway.jobs.worker import Worker
from hollyspan_gateway.metrics.instruments import create_instruments
from hollyspan_gateway.routes import RouteKind
from hollyspan_gateway.store import Store

# A worker of this memory keeps 80,000 bytes of bodies.
MEMORY_BYTES = 640_000
LIMIT_BYTES = 80_000
BODY_BYTES = 4_000
ITEMS = 5
# What is bounded by the limit each: parts that have arrived, bodies kept,
# bodies that run.
BOUNDED_PLACES = 3
READ_S = 0.2


@pytest.fixture
def batch_route(helpers):
    return helpers.build_route(
        host="h", prefix="/b/", kind=RouteKind.BATCH, max_attempts=3
    )


@pytest.fixture
def build_worker(build_gateway, batch_route):
    """Return a function that starts a gateway that runs items."""

    def build(**options):
        options = {"memory_bytes": MEMORY_BYTES, **options}
        gateway = build_gateway(routes=[batch_route], **options)
        gateway.worker = Worker(gateway=gateway)
        gateway.worker.start()
        return gateway

    return build


def build_body(name, size=BODY_BYTES):
    """Return a body that differs for each item and does not compress."""
    return random.Random(name).randbytes(size)


@pytest.fixture
def submit(store, run, reactor):
    """Return a function that stores a job."""

    def create(name, *, items=ITEMS, size=BODY_BYTES):
        now = reactor.seconds()
        names = [f"{name}-{number}" for number in range(items)]
        job = Job(
            identifier=name,
            host="h",
            path="/b/",
            submitted=now,
            due=now + 18.0,
            retained_until=now + 600.0,
            items=[
                Item(
                    identifier=each,
                    path="/b/x",
                    headers=[("name", each)],
                    body=build_body(each, size),
                )
                for each in names
            ],
        )
        run(store.create(encode_job(job)))

    return create


def count_bytes(*roots):
    """Return the length of all byte strings that some objects lead to."""
    passed_over = (
        Gateway,
        catalogue.JobCatalogue,
        Store,
        type,
        types.CoroutineType,
        types.FunctionType,
        types.MethodType,
        types.ModuleType,
    )
    seen, size, waiting = set(), 0, list(roots)
    while waiting:
        each = waiting.pop()
        if id(each) in seen or isinstance(each, passed_over):
            continue
        seen.add(id(each))
        if isinstance(each, (bytes, bytearray)):
            size += len(each)
        waiting += gc.get_referents(each)
    return size


def count_kept_bytes(gateway):
    """Return the bytes of jobs that a worker keeps."""
    followed = gateway.worker.catalogue
    return count_bytes(
        followed.jobs,
        followed.mirror.entries,
        vars(followed).get("arrivals"),
        getattr(gateway, "bodies", None),
    )


def list_results(wire, name):
    prefix = build_results_prefix(name)
    return [
        decode_result(key, entry.content)
        for key, entry in wire.entries.items()
        if key.startswith(prefix)
    ]


def answer_all(gateway, helpers, reactor, *, seconds):
    """Answer each request at once for some time; return them."""
    answered = 0
    for _ in range(round(seconds / 0.1)):
        while answered < len(gateway.pool.sent):
            gateway.pool.sent[answered].answer(
                200, body=helpers.build_events(1, 1)
            )
            answered += 1
        reactor.advance(0.1)
    return gateway.pool.sent


def add_upstream(gateway, helpers, *, slots):
    """Add an upstream to a gateway that has none."""
    entry = helpers.build_entry("u1", port=1, slots=slots)
    gateway.directory.update({"u1": entry})


def delay_reads(wire, reactor):
    """Let each read of a key take some time.

    Returns
    -------
    list of int
        Number of reads under way at the start of each.
    """
    read = wire.read
    under_way, counts = set(), []

    async def read_slowly(key):
        call = object()
        under_way.add(call)
        counts.append(len(under_way))
        await wait(reactor, READ_S)
        under_way.discard(call)
        return await read(key)

    wire.read = read_slowly
    return counts


# Failure: workers kept the bodies of all jobs of the fleet.
@pytest.mark.parametrize("jobs", [10, 40, 160])
def test_bytes_that_a_worker_keeps_are_bounded(
    build_worker, submit, reactor, jobs
):
    gateway = build_worker(upstreams=())
    for number in range(jobs):
        submit(f"j{number}")
        reactor.advance(0.2)
    reactor.pump([0.1] * 10)
    assert len(gateway.worker.catalogue.list_incomplete()) == jobs
    assert count_kept_bytes(gateway) <= BOUNDED_PLACES * LIMIT_BYTES


# Failure: a worker read the records of all jobs at once when it started.
def test_bytes_are_bounded_at_a_start_beside_many_jobs(
    build_worker, submit, reactor, wire
):
    for number in range(160):
        submit(f"j{number}")
    wire.page_size = 1
    counts = delay_reads(wire, reactor)
    gateway = build_worker(upstreams=())
    most = 0
    for _ in range(100):
        most = max(most, count_kept_bytes(gateway))
        reactor.pump([0.1] * 5)
    assert len(gateway.worker.catalogue.list_incomplete()) == 160
    assert max(counts) == bodies.MAX_RECORD_READS
    assert most <= BOUNDED_PLACES * LIMIT_BYTES


# Failure: the output of each item that had run stayed with its worker.
def test_no_output_is_kept_behind_its_result(
    build_worker, submit, reactor, helpers
):
    gateway = build_worker()
    submit("j")
    reactor.advance(0.2)
    for connection in list(gateway.pool.sent):
        connection.answer(200, body=helpers.build_events(1, 1_000))
    reactor.advance(0.2)
    assert gateway.worker.catalogue.list_incomplete() == []
    assert count_kept_bytes(gateway) < 2_000


def test_a_small_job_costs_no_read(
    build_worker, submit, reactor, helpers, wire
):
    gateway = build_worker()
    submit("j")
    answer_all(gateway, helpers, reactor, seconds=2.0)
    assert len(list_results(wire, "j")) == ITEMS
    assert "read" not in wire.calls


def test_bodies_that_are_not_kept_are_read_when_their_items_start(
    build_worker, submit, reactor, helpers, wire
):
    gateway = build_worker(upstreams=())
    for number in range(20):
        submit(f"j{number}")
        reactor.advance(0.5)
    add_upstream(gateway, helpers, slots=2)
    sent = answer_all(gateway, helpers, reactor, seconds=60.0)
    assert len(sent) == 20 * ITEMS
    for connection in sent:
        name = connection.headers[b"id"].decode()
        assert connection.exchange.body == build_body(name)
    for number in range(20):
        results = list_results(wire, f"j{number}")
        assert [each.is_done for each in results] == [True] * ITEMS
    # One read serves the items of a job.
    assert 0 < wire.calls.count("read") <= 20


def test_an_item_longer_than_the_limit_is_run(
    build_worker, submit, reactor, helpers, wire
):
    gateway = build_worker()
    submit("j", items=3, size=2 * LIMIT_BYTES)
    sent = answer_all(gateway, helpers, reactor, seconds=5.0)
    assert [len(each.exchange.body) for each in sent] == [2 * LIMIT_BYTES] * 3
    assert len(list_results(wire, "j")) == 3


def test_runs_use_bounded_bodies(build_worker, submit, reactor):
    gateway = build_worker(slots=100)
    for number in range(20):
        submit(f"j{number}")
    most = 0
    for _ in range(50):
        reactor.advance(0.1)
        running = gateway.worker.running.values()
        used = sum(len(state.run.item.body) for state in running)
        assert used == gateway.bodies.in_use_bytes
        most = max(most, used)
    assert LIMIT_BYTES // 2 < most <= LIMIT_BYTES


def evict(gateway):
    """Drop all bodies, as if others had come since."""
    for job, item in list(gateway.bodies.cache.items):
        gateway.bodies.discard(job, [item])


def test_an_outage_delays_items_whose_bodies_have_to_be_read(
    build_worker, submit, reactor, helpers, wire
):
    gateway = build_worker(upstreams=("u1",), slots=1)
    submit("j", items=2)
    reactor.advance(0.2)
    evict(gateway)
    wire.is_down = True
    gateway.pool.last.answer(200, body=helpers.build_events(1, 1))
    reactor.pump([0.1] * 30)
    assert len(gateway.pool.sent) == 1
    wire.is_down = False
    sent = answer_all(gateway, helpers, reactor, seconds=5.0)
    assert [each.headers[b"id"] for each in sent] == [b"j-0", b"j-1"]
    assert [each.is_done for each in list_results(wire, "j")] == [True, True]


def test_items_of_a_job_share_one_read(
    build_worker, submit, reactor, wire, helpers
):
    gateway = build_worker(upstreams=())
    submit("j")
    reactor.advance(0.2)
    evict(gateway)
    delay_reads(wire, reactor)
    add_upstream(gateway, helpers, slots=8)
    reactor.pump([0.1] * 5)
    assert len(gateway.pool.sent) == ITEMS
    assert wire.calls.count("read") == 1


def test_a_job_that_ends_while_its_body_is_read_is_not_started(
    build_worker, submit, reactor, wire
):
    gateway = build_worker(upstreams=("u1",), slots=1)
    submit("k", items=1)
    reactor.advance(0.2)
    submit("j", items=1)
    reactor.advance(0.2)
    evict(gateway)
    delay_reads(wire, reactor)
    gateway.pool.last.answer(422, body=b"")
    reactor.advance(0.1)
    assert gateway.bodies.reads == 1
    wire.change({build_end_key("j"): bytes(16)})
    reactor.pump([0.1] * 20)
    assert len(gateway.pool.sent) == 1
    assert list_results(wire, "j") == []


def test_a_removed_job_leaves_no_bodies(build_worker, submit, reactor, wire):
    gateway = build_worker(upstreams=())
    submit("j")
    reactor.advance(0.2)
    assert gateway.bodies.cache.held_bytes > ITEMS * BODY_BYTES
    wire.change({}, removed=["hs/j/j"])
    reactor.advance(0.2)
    assert gateway.bodies.cache.held_bytes == 0


def test_a_reader_reads_a_body_that_it_does_not_keep(
    build_gateway, submit, reactor, helpers
):
    gateway = build_gateway(memory_bytes=MEMORY_BYTES)
    for number in range(40):
        submit(f"j{number}")
    for number in [*range(40), 0]:
        request = helpers.build_request(reactor=reactor)
        defer.ensureDeferred(
            gateway.reading.read_body(request, f"j{number}", f"j{number}-3")
        )
        assert request.written == build_body(f"j{number}-3")
    assert count_bytes(gateway.reading.views) < LIMIT_BYTES
    assert gateway.bodies.cache.held_bytes <= LIMIT_BYTES


# Failure: a reader kept the results of all jobs that were being read.
def test_results_that_a_reader_keeps_are_bounded(
    build_gateway, submit, reactor, helpers, store, run
):
    gateway = build_gateway(memory_bytes=MEMORY_BYTES)
    for number in [*range(40), 0]:
        name = f"j{number}"
        if number or not gateway.reading.views:
            submit(name, items=1)
            result = ItemResult(
                identifier=f"{name}-0", is_done=True, output=build_body(name)
            )
            key = build_result_key(name, f"{name}-0")
            run(store.create({key: encode_result(result)}))
        request = helpers.build_request(reactor=reactor)
        work = gateway.reading.read(
            request, name, position=0, wait_seconds=0.0
        )
        defer.ensureDeferred(work)
        reactor.advance(0.1)
        assert (request.status, request.written) == (
            200,
            b"1:0:%s-0" % name.encode(),
        )
        assert gateway.reading.count_held_bytes() <= LIMIT_BYTES + BODY_BYTES
    assert len(gateway.reading.views) > LIMIT_BYTES // BODY_BYTES // 2


# Failure: the state of each item was kept until its job was removed.
def test_items_of_complete_jobs_are_forgotten(
    build_worker, submit, reactor, wire, helpers
):
    gateway = build_worker()
    catalogue = gateway.worker.catalogue
    for number in range(20):
        submit(f"j{number}")
        answer_all(gateway, helpers, reactor, seconds=3.0)
        assert len(list_results(wire, f"j{number}")) == ITEMS
        assert catalogue.count_items() <= ITEMS
    assert catalogue.forgotten >= 19 * ITEMS
    assert len(catalogue.jobs) == 20
    assert gateway.bodies.cache.held_bytes == 0
    runs = len(gateway.pool.sent)
    # Another worker comes, and the jobs are looked at anew.
    catalogue.reread_results()
    reactor.pump([0.1] * 30)
    assert len(gateway.pool.sent) == runs
    wire.change({build_end_key("j3"): bytes(16)})
    wire.change({}, removed=["hs/j/j4"])
    reactor.pump([0.1] * 10)
    assert "j4" not in catalogue.jobs


def test_bytes_held_are_on_the_metrics_address(build_worker, submit, reactor):
    gateway = build_worker(upstreams=())
    for number in range(40):
        submit(f"j{number}")
        reactor.advance(0.2)
    reactor.pump([0.1] * 10)
    lines = create_instruments(gateway)().decode().splitlines()
    values = dict(line.rsplit(" ", 1) for line in lines if line[0] != "#")
    values = {
        name.partition("{")[0]: float(value) for name, value in values.items()
    }
    assert values["hollyspan_job_bytes_limit"] == LIMIT_BYTES
    kept = values["hollyspan_job_bodies_kept_bytes"]
    assert LIMIT_BYTES / 2 < kept <= LIMIT_BYTES
    assert values["hollyspan_job_bodies_dropped"] >= 100
    assert values["hollyspan_jobs_known"] == 40
    assert values["hollyspan_items_known"] == 40 * ITEMS
    for name in (
        "job_arrivals_bytes",
        "job_bodies_in_use_bytes",
        "job_records_read",
        "job_results_held_bytes",
        "submissions_held_bytes",
        "submissions_refused",
    ):
        assert values[f"hollyspan_{name}"] == 0
