"""Tests of the scheduling order of items, replayed on its load pattern.

The pattern: the slots of one upstream, items that run for 5 s and are due 18 s
after their arrival, more items than the slots can run, and waves of online
requests that occupy most slots for 2.4 s of every 5.8 s.
"""

import random

import pytest

from hollyspan_policy.batch import rank_item
from hollyspan_policy.batch import RunTimeEstimator

STEP_S = 0.1
ITEM_RUN_TIME_S = 5.0
DEADLINE_S = 18.0
SLOTS = 24
WAVE_PERIOD_S = 5.8
WAVE_DURATION_S = 2.4
SLOTS_IN_WAVE = 6


class Item:
    """Batch item of the replay."""

    __slots__ = ("due", "remaining_seconds")

    def __init__(self, *, due):
        self.due = due
        self.remaining_seconds = ITEM_RUN_TIME_S


def rank_by_due(*, due, remaining_seconds, now):
    return due


def count_in_time(rank, *, rate, seed, seconds=60.0):
    """Replay the pattern and count the items that finish in time."""
    draw = random.Random(seed)
    items = []
    in_time = 0
    now = 0.0
    while now < seconds:
        if draw.random() < rate / 10 * STEP_S:
            items += [Item(due=now + DEADLINE_S) for _ in range(10)]
        is_busy = now % WAVE_PERIOD_S < WAVE_DURATION_S
        items.sort(
            key=lambda item: rank(
                due=item.due, remaining_seconds=item.remaining_seconds, now=now
            )
        )
        for item in items[: SLOTS_IN_WAVE if is_busy else SLOTS]:
            item.remaining_seconds -= STEP_S
        in_time += sum(
            item.remaining_seconds <= 0 and now <= item.due for item in items
        )
        items = [item for item in items if item.remaining_seconds > 0]
        now += STEP_S
    return in_time


@pytest.mark.parametrize("seed", range(6))
def test_more_items_meet_their_deadline_under_overload(seed):
    by_rank = count_in_time(rank_item, rate=5.0, seed=seed)
    by_due = count_in_time(rank_by_due, rate=5.0, seed=seed)
    assert by_rank > by_due


@pytest.mark.parametrize("seed", range(3))
def test_same_items_meet_their_deadline_without_overload(seed):
    by_rank = count_in_time(rank_item, rate=1.5, seed=seed)
    by_due = count_in_time(rank_by_due, rate=1.5, seed=seed)
    assert by_rank == by_due


def test_late_items_rank_last():
    late = rank_item(due=4.0, remaining_seconds=5.0, now=0.0)
    fresh = rank_item(due=18.0, remaining_seconds=5.0, now=0.0)
    assert fresh < late


def test_nearly_finished_items_rank_first():
    nearly = rank_item(due=18.0, remaining_seconds=1.0, now=0.0)
    fresh = rank_item(due=9.0, remaining_seconds=5.0, now=0.0)
    assert nearly < fresh


def test_run_time_estimate_converges():
    times = RunTimeEstimator(events=100, event_seconds=0.1)
    for _ in range(100):
        times.observe(events=200, seconds=4.0, run_events=200)
    assert times.estimate_remaining_seconds(0) == pytest.approx(4.0, rel=0.01)
    assert times.estimate_remaining_seconds(150) == pytest.approx(
        1.0, rel=0.01
    )
    assert times.estimate_remaining_seconds(900) > 0
