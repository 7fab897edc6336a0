"""Tests of items whose upstreams stand still for a second, or for ever."""

import collections

import pytest

from hollyspan_gateway.jobs.records import build_results_prefix
from hollyspan_gateway.jobs.records import encode_job
from hollyspan_gateway.jobs.worker import Worker
from hollyspan_gateway.routes import RouteKind
from hollyspan_policy.retries import MAX_STILL_S
from hollyspan_standins.memory import build_job
from hollyspan_standins.memory import build_route
from hollyspan_standins.memory import fleet as memory_fleet
from hollyspan_standins.memory import LinkState

BATCH = build_route(
    name="b", host="h", prefix="/b/", kind=RouteKind.BATCH, max_attempts=3
)
UPSTREAMS = 6
SLOTS = 8
# Events of an item, and the time that it takes without a silence.
EVENTS = 80
RUN_S = 4.2
# Time until all items of a job run.
START_S = 1.0


@pytest.fixture
def build_workers(build_fleet, monkeypatch):
    """Return a function that starts workers and a front."""
    monkeypatch.setattr(memory_fleet, "EVENTS_PER_ANSWER", EVENTS)

    def build(count=3):
        fleet = build_fleet(gateways=1, upstreams=UPSTREAMS, routes=[BATCH])
        for _ in range(count):
            worker = fleet.add_gateway(runs_batch=True)
            worker.worker = Worker(gateway=worker)
            worker.worker.start()
        fleet.advance(1.0)
        return fleet

    return build


@pytest.fixture
def submit(run):
    """Return a function that submits a job and lets its items start."""

    def create(fleet, count, *, name="j"):
        job = build_job(
            name, tokens=[1] * count, submitted=fleet.reactor.seconds()
        )
        run(fleet.gateways[0].store.create(encode_job(job)))
        fleet.advance(START_S)

    return create


def count_runs(fleet):
    """Return the number of runs of each item."""
    return collections.Counter(
        send.connection.headers[b"id"].decode() for send in fleet.sent
    )


def count_results(wire, name="j"):
    prefix = build_results_prefix(name)
    return sum(key.startswith(prefix) for key in wire.entries)


# Failure: runs were broken off after a second of silence, although nobody
# could go on with them, and their items waited for a place anew.
@pytest.mark.parametrize(
    "opens_in_silence", [False, True], ids=["full", "open"]
)
@pytest.mark.parametrize("seconds", [1.0, 1.3, 1.8])
@pytest.mark.parametrize("share", [1.0, 2 / 3, 1 / 3])
def test_items_outlast_a_silence_in_their_first_run(
    build_workers, submit, wire, share, seconds, opens_in_silence
):
    fleet = build_workers()
    fleet.opens_in_silence = opens_in_silence
    # More than there are places for, so that no place is left elsewhere.
    submit(fleet, UPSTREAMS * SLOTS + 12)
    begun = set(count_runs(fleet))
    silent = sorted(fleet.upstreams)[: round(share * UPSTREAMS)]
    fleet.silent_upstreams = set(silent)
    fleet.advance(seconds)
    fleet.silent_upstreams = set()
    fleet.advance(2 * RUN_S + 1.0)
    runs = count_runs(fleet)
    assert {name: runs[name] for name in begun if runs[name] > 1} == {}
    assert count_results(wire) == UPSTREAMS * SLOTS + 12


# Failure: the only worker broke its runs off in a silence of its own links.
def test_items_that_no_other_worker_can_run_outlast_lost_links(
    build_workers, submit, wire
):
    fleet = build_workers(1)
    submit(fleet, 12)
    fleet.set_links(fleet.gateways[1], LinkState.HANGS)
    for number in range(26):
        fleet.request(f"q{number}", gateway=fleet.gateways[0])
        fleet.advance(0.05)
    fleet.restore_links(fleet.gateways[1])
    fleet.advance(RUN_S)
    runs = count_runs(fleet)
    assert {runs[f"ji{number}"] for number in range(12)} == {1}
    assert count_results(wire) == 12


# Failure: a confirmed cut broke off the runs of the only worker, or left those
# that another one could go on with.
@pytest.mark.parametrize("count", [1, 2])
def test_a_confirmed_cut_breaks_off_runs_that_another_worker_can_follow(
    build_workers, submit, count
):
    fleet = build_workers(count)
    submit(fleet, 12)
    worker = fleet.gateways[1]
    begun = [send for send in fleet.sent if send.gateway is worker]
    worker.reach.move_attempts()
    assert begun
    assert {send.is_open() for send in begun} == {count == 1}


# Failure: items waited a second at an upstream that hung, although others had
# places for them.
def test_items_leave_an_upstream_that_hangs_for_places_elsewhere(
    build_workers, submit, wire
):
    fleet = build_workers()
    submit(fleet, 18)
    hanging = fleet.sent[-1].upstream
    fleet.silent_upstreams = {hanging}
    fleet.advance(0.9)
    assert not any(
        send.is_open() for send in fleet.sent if send.upstream == hanging
    )
    fleet.advance(RUN_S)
    assert count_results(wire) == 18
    assert max(count_runs(fleet).values()) == 2


def test_items_leave_an_upstream_that_hangs_within_the_bound(
    build_workers, submit, wire
):
    fleet = build_workers()
    submit(fleet, UPSTREAMS * SLOTS)
    hanging = fleet.sent[-1].upstream
    left = {
        send.connection.headers[b"id"]
        for send in fleet.sent
        if send.upstream == hanging and send.is_open()
    }
    fleet.silent_upstreams = {hanging}
    fleet.advance(MAX_STILL_S + 0.2)
    still_open = [
        send
        for send in fleet.sent
        if send.upstream == hanging
        and send.is_open()
        and send.connection.headers[b"id"] in left
    ]
    assert still_open == []
    fleet.advance(2 * RUN_S + 2.0)
    assert count_results(wire) == UPSTREAMS * SLOTS


# Failure: items stayed at a worker whose links were lost, or ran twice.
def test_items_of_a_worker_with_lost_links_go_on_at_another(
    build_workers, submit, wire
):
    fleet = build_workers()
    submit(fleet, 12)
    cut_off = fleet.gateways[1]
    fleet.set_links(cut_off, LinkState.HANGS)
    fleet.advance(MAX_STILL_S + 0.2)
    assert not any(
        send.is_open() for send in fleet.sent if send.gateway is cut_off
    )
    fleet.advance(RUN_S + 1.0)
    assert count_results(wire) == 12
    assert max(count_runs(fleet).values()) <= 2


# Failure: items moved from one silent upstream to the next, which had the
# most places since nothing ran there.
def test_items_move_to_upstreams_that_are_heard(build_workers, submit, wire):
    fleet = build_workers()
    submit(fleet, 12)
    silent = {send.upstream for send in fleet.sent[-2:]}
    silent |= set(sorted(fleet.upstreams)[:2])
    fleet.silent_upstreams = silent
    before = len(fleet.sent)
    fleet.advance(1.2)
    moved = fleet.sent[before:]
    assert moved
    assert not any(send.upstream in silent for send in moved)
    assert max(count_runs(fleet).values()) == 2
