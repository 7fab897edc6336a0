"""Tests of items at one upstream that hangs while all others are full."""

import pytest

from hollyspan_gateway.jobs import item_placement
from hollyspan_gateway.jobs.records import encode_job
from hollyspan_standins.memory import build_job
from hollyspan_standins.memory import fleet as memory_fleet

from .test_items_in_silences import build_workers  # noqa: F401
from .test_items_in_silences import SLOTS
from .test_items_in_silences import submit  # noqa: F401
from .test_items_in_silences import UPSTREAMS


# Failure: three silent runs at an upstream that hung dropped a text that
# others could go on with.
@pytest.mark.parametrize("opens", [True, False])
def test_one_upstream_hangs_for_ever_while_all_others_are_full(
    build_workers, submit, wire, monkeypatch, opens  # noqa: F811
):
    fleet = build_workers()
    fleet.opens_in_silence = opens
    monkeypatch.setattr(memory_fleet, "EVENTS_PER_ANSWER", 600)
    discarded = []
    discard = item_placement.discard_text

    def note(state, reason):
        discarded.append((state.item.identifier, reason, state.last_event))
        discard(state, reason)

    monkeypatch.setattr(item_placement, "discard_text", note)
    submit(fleet, UPSTREAMS * SLOTS + 12)
    hanging = fleet.sent[-1].upstream
    fleet.silent_upstreams = {hanging}
    fleet.advance(24.0)
    assert not discarded


# Failure: items of a service that found no place stopped the moves of all.
def test_shortage_of_another_service_does_not_stop_moves(
    build_workers, submit, monkeypatch  # noqa: F811
):
    monkeypatch.setattr(memory_fleet, "EVENTS_PER_ANSWER", 80)
    fleet = build_workers()
    submit(fleet, 18)
    hanging = fleet.sent[-1].upstream
    fleet.silent_upstreams = {hanging}
    for _ in range(18):
        for gateway in fleet.gateways:
            if gateway.worker is not None:
                gateway.worker.silences.note_shortage("other")
        fleet.advance(0.05)
    still_open = [
        send
        for send in fleet.sent
        if send.upstream == hanging and send.is_open()
    ]
    assert not still_open


# Failure: places that became free went to items that waited, of less urgent
# jobs, too; those at the upstream that hung stayed for the bound.
def test_urgent_items_leave_a_hanging_upstream_before_others_start(
    build_workers, run, monkeypatch  # noqa: F811
):
    monkeypatch.setattr(memory_fleet, "EVENTS_PER_ANSWER", 80)
    fleet = build_workers()

    def create(name, count, due):
        job = build_job(
            name, tokens=[1] * count, submitted=fleet.reactor.seconds()
        )
        job.due = due
        run(fleet.gateways[0].store.create(encode_job(job)))

    wall = fleet.gateways[1].wall_clock()
    create("a", UPSTREAMS * SLOTS - 3, wall + 8.0)
    fleet.advance(0.6)
    create("z", 40, wall + 900.0)
    fleet.advance(2.2)
    hanging = fleet.sent[-1].upstream
    fleet.silent_upstreams = {hanging}
    before = len(fleet.sent)
    fleet.advance(2.4)
    started = [
        s.connection.headers[b"id"].decode()
        for s in fleet.sent[before:]
        if s.upstream != hanging
    ]
    left = {
        s.connection.headers[b"id"].decode()
        for s in fleet.sent
        if s.upstream == hanging and s.is_open()
    }
    assert not [n for n in left if n.startswith("a")] or not [
        n for n in started if n.startswith("z")
    ]


# Items that are not urgent ran again for each place that became free.
def test_items_that_are_not_urgent_stay_while_others_wait(
    build_workers, submit  # noqa: F811
):
    fleet = build_workers()
    submit(fleet, UPSTREAMS * SLOTS - 3)
    submit(fleet, 40, name="z")
    fleet.advance(1.0)
    hanging = fleet.sent[-1].upstream
    runs = [
        send
        for send in fleet.sent
        if send.upstream == hanging and send.is_open()
    ]
    fleet.silent_upstreams = {hanging}
    before = len(fleet.sent)
    fleet.advance(2.2)
    assert len(fleet.sent) > before
    assert runs and all(send.is_open() for send in runs)


# Failure: runs were broken off when their worker's own link refused one
# connection, though the upstream went on.
def test_items_outlast_a_refused_connection_in_a_silence(
    build_workers, submit  # noqa: F811
):
    fleet = build_workers()
    submit(fleet, UPSTREAMS * SLOTS + 12)
    silent = fleet.sent[-1].upstream
    fleet.silent_upstreams = {silent}
    fleet.advance(0.2)
    for gateway in fleet.gateways:
        evidence = gateway.reach.evidence
        evidence.refused_at[silent] = fleet.reactor.seconds()
    runs = [
        send
        for send in fleet.sent
        if send.upstream == silent and send.is_open()
    ]
    fleet.advance(1.0)
    assert runs and all(send.is_open() for send in runs)
