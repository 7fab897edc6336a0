"""Free slots that several daemons see at the same moment."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from hollyspan_policy.batch import count_claimable
from hollyspan_policy.batch import SlotTurns

SLOTS = 8
UPSTREAMS = 6
DAEMONS = 3
STEP_S = 0.005
# Steps in which word of a start reaches the others.
WORD_STEPS = 4
ONLINE_RATE = 40.0
ONLINE_S = 0.7


@settings(derandomize=True, max_examples=80)
@given(room=st.integers(0, 20), daemons=st.integers(1, 6))
def test_each_free_slot_is_one_daemon_s(room, daemons):
    shares = [
        count_claimable(room, rank=rank, daemons=daemons)
        for rank in range(daemons)
    ]
    assert sum(shares) == room
    assert max(shares) - min(shares) <= 1


def test_a_daemon_alone_takes_all_at_once():
    turns = SlotTurns()
    for room in (3, 2, 1):
        assert turns.count_open(room, rank=0, daemons=1, now=1.0) == room
        turns.note_taken()
    assert turns.count_open(0, rank=0, daemons=1, now=1.0) == 0
    # A slot that comes free in the same turn.
    assert turns.count_open(1, rank=0, daemons=1, now=1.01) == 1


def test_word_of_the_others_comes_before_the_next_turn():
    turns = SlotTurns()
    assert turns.count_open(3, rank=0, daemons=3, now=1.0) == 1
    turns.note_taken()
    assert turns.count_open(2, rank=0, daemons=3, now=1.02) == 0
    # The others have taken theirs.
    assert turns.count_open(0, rank=0, daemons=3, now=1.04) == 0


def test_what_the_first_leaves_free_goes_to_the_others():
    turns = SlotTurns()
    opened = [
        turns.count_open(1, rank=2, daemons=3, now=1.0 + 0.04 * turn)
        for turn in range(3)
    ]
    assert opened == [0, 0, 1]


def test_an_old_turn_says_nothing():
    turns = SlotTurns()
    assert turns.count_open(1, rank=1, daemons=3, now=1.0) == 0
    assert turns.count_open(1, rank=1, daemons=3, now=9.0) == 0


class Fleet:
    """Daemons with endless batch work before the same upstreams."""

    def __init__(self, *, seed, has_turns):
        self.draw = random.Random(seed)
        self.has_turns = has_turns
        self.online = [0] * UPSTREAMS
        self.batch = [[0] * UPSTREAMS for _ in range(DAEMONS)]
        self.history = [
            [[0] * UPSTREAMS for _ in range(DAEMONS)]
            for _ in range(WORD_STEPS)
        ]
        self.turns = [
            [SlotTurns() for _ in range(UPSTREAMS)] for _ in range(DAEMONS)
        ]
        self.ends = []
        self.started = 0
        self.stopped = 0
        self.used = 0

    def count_room(self, daemon, upstream):
        """Free slots as a daemon knows them: of the others some time ago."""
        old = self.history[-WORD_STEPS]
        batch = sum(
            (self.batch if other == daemon else old)[other][upstream]
            for other in range(DAEMONS)
        )
        return SLOTS - self.online[upstream] - batch

    def fill(self, daemon, now):
        for upstream in range(UPSTREAMS):
            room = self.count_room(daemon, upstream)
            if self.has_turns:
                rank = (daemon + upstream) % DAEMONS
                room = self.turns[daemon][upstream].count_open(
                    room, rank=rank, daemons=DAEMONS, now=now
                )
            for _ in range(max(0, room)):
                self.batch[daemon][upstream] += 1
                self.turns[daemon][upstream].note_taken()
                self.started += 1

    def step(self, now):
        for end, upstream in [each for each in self.ends if each[0] <= now]:
            self.ends.remove((end, upstream))
            self.online[upstream] -= 1
        if self.draw.random() < ONLINE_RATE * STEP_S:
            upstream = min(
                range(UPSTREAMS),
                key=lambda each: (self.online[each], self.draw.random()),
            )
            self.online[upstream] += 1
            self.ends.append((now + ONLINE_S, upstream))
        for daemon in self.draw.sample(range(DAEMONS), DAEMONS):
            self.fill(daemon, now)
        self.stop_excess()
        self.history.append([list(each) for each in self.batch])

    def stop_excess(self):
        for upstream in range(UPSTREAMS):
            held = [each[upstream] for each in self.batch]
            excess = self.online[upstream] + sum(held) - SLOTS
            for _ in range(max(0, excess)):
                most = max(range(DAEMONS), key=lambda each: held[each])
                if not held[most]:
                    break
                held[most] -= 1
                self.batch[most][upstream] -= 1
                self.stopped += 1
            self.used += sum(held) + min(SLOTS, self.online[upstream])


def replay(*, seed, has_turns, seconds=10.0):
    fleet = Fleet(seed=seed, has_turns=has_turns)
    steps = round(seconds / STEP_S)
    for step in range(steps):
        fleet.step(step * STEP_S)
    return fleet.stopped, fleet.used / (steps * UPSTREAMS * SLOTS)


@pytest.mark.parametrize("seed", range(4))
def test_turns_spare_starts_that_are_stopped_at_once(seed):
    stopped, used = replay(seed=seed, has_turns=True)
    stopped_without, used_without = replay(seed=seed, has_turns=False)
    assert stopped < stopped_without / 2
    # Slots do not stay empty for it.
    assert used > used_without - 0.05
