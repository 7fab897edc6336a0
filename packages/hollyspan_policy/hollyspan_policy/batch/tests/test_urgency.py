"""Order of items, replayed on the load that it answers.

The pattern: one upstream's slots, items of 5 s that are due 18 s after they
come, more of them than fit, and waves of online requests that take most slots
for 2.4 s of every 5.8 s.
"""

import random

import pytest

from hollyspan_policy.batch import rank_item
from hollyspan_policy.batch import RunTimes

STEP_S = 0.1
RUN_S = 5.0
DUE_S = 18.0
SLOTS = 24
WAVE_S = 5.8
WAVE_BUSY_S = 2.4
WAVE_SLOTS = 6


class Item:
    """An item of the replay."""

    __slots__ = ("due", "left")

    def __init__(self, *, due):
        self.due = due
        self.left = RUN_S


def rank_by_due(*, due, left_seconds, now):
    return due


def count_in_time(rank, *, rate, seed, seconds=60.0):
    """Replay the pattern and count the items that end in time."""
    draw = random.Random(seed)
    items = []
    in_time = 0
    now = 0.0
    while now < seconds:
        if draw.random() < rate / 10 * STEP_S:
            items += [Item(due=now + DUE_S) for _ in range(10)]
        is_busy = now % WAVE_S < WAVE_BUSY_S
        items.sort(
            key=lambda item: rank(
                due=item.due, left_seconds=item.left, now=now
            )
        )
        for item in items[: WAVE_SLOTS if is_busy else SLOTS]:
            item.left -= STEP_S
        in_time += sum(item.left <= 0 and now <= item.due for item in items)
        items = [item for item in items if item.left > 0]
        now += STEP_S
    return in_time


@pytest.mark.parametrize("seed", range(6))
def test_under_overload_more_items_are_in_time(seed):
    by_rank = count_in_time(rank_item, rate=5.0, seed=seed)
    by_due = count_in_time(rank_by_due, rate=5.0, seed=seed)
    assert by_rank > by_due


@pytest.mark.parametrize("seed", range(3))
def test_with_room_for_all_nothing_is_lost(seed):
    by_rank = count_in_time(rank_item, rate=1.5, seed=seed)
    by_due = count_in_time(rank_by_due, rate=1.5, seed=seed)
    assert by_rank == by_due


def test_items_that_are_late_anyway_go_last():
    late = rank_item(due=4.0, left_seconds=5.0, now=0.0)
    fresh = rank_item(due=18.0, left_seconds=5.0, now=0.0)
    assert fresh < late


def test_what_is_nearly_done_goes_first():
    nearly = rank_item(due=18.0, left_seconds=1.0, now=0.0)
    fresh = rank_item(due=9.0, left_seconds=5.0, now=0.0)
    assert nearly < fresh


def test_run_times_are_learned():
    times = RunTimes(events=100, event_seconds=0.1)
    for _ in range(100):
        times.observe(events=200, seconds=4.0, run_events=200)
    assert times.estimate_left(0) == pytest.approx(4.0, rel=0.01)
    assert times.estimate_left(150) == pytest.approx(1.0, rel=0.01)
    assert times.estimate_left(900) > 0
