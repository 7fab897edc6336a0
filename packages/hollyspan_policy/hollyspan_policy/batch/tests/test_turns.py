"""Tests of turns at free slots that several daemons observe at once."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from hollyspan_policy.batch import count_turn_slots
from hollyspan_policy.batch import SlotTurns

SLOTS = 8
UPSTREAMS = 6
DAEMONS = 3
STEP_S = 0.005
# Steps until the other daemons know of a start.
PROPAGATION_STEPS = 4
ONLINE_REQUESTS_PER_S = 40.0
ONLINE_DURATION_S = 0.7


@settings(derandomize=True, max_examples=80)
@given(free_slots=st.integers(0, 20), daemons=st.integers(1, 6))
def test_each_free_slot_is_assigned_to_exactly_one_daemon(free_slots, daemons):
    shares = [
        count_turn_slots(free_slots, rank=rank, daemons=daemons)
        for rank in range(daemons)
    ]
    assert sum(shares) == free_slots
    assert max(shares) - min(shares) <= 1


def test_single_daemon_may_fill_all_slots_at_once():
    turns = SlotTurns()
    for free_slots in (3, 2, 1):
        assert (
            turns.count_startable(free_slots, rank=0, daemons=1, now=1.0)
            == free_slots
        )
        turns.record_start()
    assert turns.count_startable(0, rank=0, daemons=1, now=1.0) == 0
    # A slot that is freed during the same turn.
    assert turns.count_startable(1, rank=0, daemons=1, now=1.01) == 1


def test_starts_of_other_daemons_are_known_before_the_next_turn():
    turns = SlotTurns()
    assert turns.count_startable(3, rank=0, daemons=3, now=1.0) == 1
    turns.record_start()
    assert turns.count_startable(2, rank=0, daemons=3, now=1.02) == 0
    # The other daemons have filled their slots.
    assert turns.count_startable(0, rank=0, daemons=3, now=1.04) == 0


def test_unused_slots_pass_to_other_daemons():
    turns = SlotTurns()
    startable = [
        turns.count_startable(1, rank=2, daemons=3, now=1.0 + 0.04 * turn)
        for turn in range(3)
    ]
    assert startable == [0, 0, 1]


def test_expired_turn_is_ignored():
    turns = SlotTurns()
    assert turns.count_startable(1, rank=1, daemons=3, now=1.0) == 0
    assert turns.count_startable(1, rank=1, daemons=3, now=9.0) == 0


class Fleet:
    """Daemons with unlimited batch work for the same upstreams."""

    def __init__(self, *, seed, has_turns):
        self.draw = random.Random(seed)
        self.has_turns = has_turns
        self.online = [0] * UPSTREAMS
        self.batch = [[0] * UPSTREAMS for _ in range(DAEMONS)]
        self.history = [
            [[0] * UPSTREAMS for _ in range(DAEMONS)]
            for _ in range(PROPAGATION_STEPS)
        ]
        self.turns = [
            [SlotTurns() for _ in range(UPSTREAMS)] for _ in range(DAEMONS)
        ]
        self.ends = []
        self.started = 0
        self.stopped = 0
        self.used = 0

    def count_free_slots(self, daemon, upstream):
        """Count free slots as one daemon knows them, others with a delay."""
        delayed = self.history[-PROPAGATION_STEPS]
        batch = sum(
            (self.batch if other == daemon else delayed)[other][upstream]
            for other in range(DAEMONS)
        )
        return SLOTS - self.online[upstream] - batch

    def fill(self, daemon, now):
        for upstream in range(UPSTREAMS):
            free_slots = self.count_free_slots(daemon, upstream)
            if self.has_turns:
                rank = (daemon + upstream) % DAEMONS
                free_slots = self.turns[daemon][upstream].count_startable(
                    free_slots, rank=rank, daemons=DAEMONS, now=now
                )
            for _ in range(max(0, free_slots)):
                self.batch[daemon][upstream] += 1
                self.turns[daemon][upstream].record_start()
                self.started += 1

    def step(self, now):
        for end, upstream in [each for each in self.ends if each[0] <= now]:
            self.ends.remove((end, upstream))
            self.online[upstream] -= 1
        if self.draw.random() < ONLINE_REQUESTS_PER_S * STEP_S:
            upstream = min(
                range(UPSTREAMS),
                key=lambda each: (self.online[each], self.draw.random()),
            )
            self.online[upstream] += 1
            self.ends.append((now + ONLINE_DURATION_S, upstream))
        for daemon in self.draw.sample(range(DAEMONS), DAEMONS):
            self.fill(daemon, now)
        self.stop_excess()
        self.history.append([list(each) for each in self.batch])

    def stop_excess(self):
        for upstream in range(UPSTREAMS):
            held = [each[upstream] for each in self.batch]
            excess = self.online[upstream] + sum(held) - SLOTS
            for _ in range(max(0, excess)):
                daemon = max(range(DAEMONS), key=lambda each: held[each])
                if not held[daemon]:
                    break
                held[daemon] -= 1
                self.batch[daemon][upstream] -= 1
                self.stopped += 1
            self.used += sum(held) + min(SLOTS, self.online[upstream])


def replay(*, seed, has_turns, seconds=10.0):
    fleet = Fleet(seed=seed, has_turns=has_turns)
    steps = round(seconds / STEP_S)
    for step in range(steps):
        fleet.step(step * STEP_S)
    return fleet.stopped, fleet.used / (steps * UPSTREAMS * SLOTS)


@pytest.mark.parametrize("seed", range(4))
def test_turns_reduce_preemptions_without_idle_slots(seed):
    stopped, used = replay(seed=seed, has_turns=True)
    stopped_without, used_without = replay(seed=seed, has_turns=False)
    assert stopped < stopped_without / 2
    # Turns may leave at most 5 % more of the slots unused.
    assert used > used_without - 0.05
