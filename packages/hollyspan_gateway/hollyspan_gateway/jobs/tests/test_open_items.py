"""Tests of the log of items that are open and do not run."""

from eliot import testing
import pytest

from hollyspan_gateway.jobs import Item
from hollyspan_gateway.jobs import Job
from hollyspan_gateway.jobs.records import build_job_key
from hollyspan_gateway.jobs.records import encode_job
from hollyspan_gateway.jobs.worker import Worker
from hollyspan_gateway.peers.peer import Peer
from hollyspan_gateway.routes import RouteKind

PART = 7


@pytest.fixture
def logged():
    """Return the messages that are logged."""
    logger = testing.MemoryLogger()
    previous = testing.swap_logger(logger)
    yield logger.messages
    testing.swap_logger(previous)


@pytest.fixture
def gateway(build_gateway, helpers):
    route = helpers.build_route(
        host="h", prefix="/b/", kind=RouteKind.BATCH, max_attempts=3
    )
    gateway = build_gateway(routes=[route], upstreams=("u1",), slots=4)
    gateway.worker = Worker(gateway=gateway)
    gateway.worker.start()
    return gateway


@pytest.fixture
def submit(store, run, reactor):
    """Return a function that stores a job whose items have one part."""

    def create(count=1, *, name="j"):
        now = reactor.seconds()
        job = Job(
            identifier=name,
            host="h",
            path="/b/",
            submitted=now,
            due=now + 18.0,
            retained_until=now + 60.0,
            items=[
                Item(
                    identifier=f"{name}{number}",
                    path="/b/x",
                    headers=[("part", str(PART))],
                    body=b"",
                )
                for number in range(count)
            ],
        )
        run(store.create(encode_job(job)))
        reactor.advance(0.2)

    return create


@pytest.fixture
def list_open(reactor, logged):
    """Return a function that lists the lines of some seconds."""

    def collect(seconds=9.0):
        for _ in range(round(seconds / 0.1)):
            reactor.advance(0.1)
        return [
            line for line in logged if line.get("message_type") == "items:open"
        ]

    return collect


def list_reasons(lines):
    """Return the reasons in some lines."""
    return {line["reason"] for line in lines}


def test_items_with_a_blocked_part_are_logged_in_one_line(
    gateway, submit, reactor, list_open
):
    # No trial is due soon.
    gateway.guard.block_list.add(
        frozenset({PART}), at=reactor.seconds(), failed_trials=2
    )
    submit(5)
    first, *_ = list_open()
    assert (first["job"], first["items"]) == ("j", 5)
    assert first["reason"] == "blocked"
    assert first["other"] == f"{PART:016x}"
    assert first["age"] >= 3.0
    assert first["item"] == "j0"


def test_items_that_run_or_wait_shortly_are_not_logged(
    gateway, submit, list_open
):
    submit(1)
    assert gateway.pool.sent
    assert list_open(0.8) == []


def remove_upstreams(gateway):
    for upstream in list(gateway.directory.upstreams.values()):
        gateway.directory.remove(upstream)


@pytest.mark.parametrize(
    ("hinder", "reason"),
    [
        (remove_upstreams, "no_upstream"),
        (
            lambda gateway: setattr(
                gateway.directory.upstreams["u1"], "suspect_until", 1e9
            ),
            "upstreams_suspect",
        ),
        (
            lambda gateway: setattr(
                gateway.directory.upstreams["u1"], "online", 4
            ),
            "no_slot",
        ),
        (
            lambda gateway: setattr(
                gateway.upstreams_mirror, "is_connected", False
            ),
            "no_store",
        ),
        (lambda gateway: setattr(gateway, "routes", None), "no_configuration"),
    ],
)
def test_the_reason_is_told(gateway, submit, list_open, hinder, reason):
    hinder(gateway)
    submit()
    assert list_reasons(list_open()) == {reason}
    assert gateway.pool.sent == []


def test_the_gateway_that_owns_or_runs_an_item_is_told(
    gateway, submit, list_open
):
    peer = Peer(key=5, address=("10.0.0.1", 1))
    peer.runs_batch = peer.reaches_store = True
    gateway.peers.list_workers = lambda: [peer]
    submit(16)
    lines = list_open(0.0)
    waiting = [
        state
        for job_state in gateway.worker.catalogue.list_incomplete()
        for state in job_state.items.values()
        if state.run is None
    ]
    peer.items = frozenset({waiting[0].key})
    lines = list_open(16.0)
    elsewhere = {
        line["reason"]: line["other"]
        for line in lines
        if line["reason"].endswith("elsewhere")
    }
    assert elsewhere == {
        "owned_elsewhere": peer.identifier,
        "runs_elsewhere": peer.identifier,
    }


def test_many_jobs_share_the_rounds(gateway, submit, reactor, list_open):
    # No trial is due soon.
    gateway.guard.block_list.add(
        frozenset({PART}), at=reactor.seconds(), failed_trials=2
    )
    for number in range(40):
        submit(name=f"j{number:02}")
    lines = list_open(4.5)
    assert len(lines) <= 32
    assert len({line["job"] for line in list_open(15.0)}) == 40


def test_items_whose_runs_bring_no_event_are_logged(
    gateway, submit, list_open
):
    submit(1)
    lines = list_open(9.0)
    reasons = list_reasons(lines)
    assert reasons <= {"run_without_events", "delay"} and reasons
    assert max(line["age"] for line in lines) > 5.0


def test_jobs_whose_records_are_not_known_are_logged(gateway, wire, list_open):
    wire.change({build_job_key("odd"): bytes(16) + b"\x01no record"})
    lines = list_open(9.0)
    assert {(line["job"], line["reason"]) for line in lines} == {
        ("odd", "record_unreadable")
    }


def test_the_read_of_results_is_told(gateway, submit, list_open, reactor):
    async def read(job_state):
        job_state.is_reading_results = True

    gateway.worker.catalogue.read_results = read
    gateway.upstreams_mirror.is_connected = False
    submit(1)
    gateway.worker.reread_results()
    gateway.upstreams_mirror.is_connected = True
    assert list_reasons(list_open(9.0)) == {"results_being_read"}


def test_an_item_that_its_owner_leaves_alone_is_told_with_its_age(
    gateway, submit, list_open
):
    peer = Peer(key=5, address=("10.0.0.1", 1))
    peer.runs_batch = peer.reaches_store = True
    gateway.peers.list_workers = lambda: [peer]
    remove_upstreams(gateway)
    submit(16)
    lines = [
        line for line in list_open(16.0) if line["reason"] == "owned_elsewhere"
    ]
    assert max(line["idle"] for line in lines) >= 10.0
