"""Tests of the choice of streams whose owner is silent."""

from hypothesis import given
from hypothesis import strategies

from hollyspan_policy.batch import choose_orphaned_streams

NUMBERS = strategies.integers(min_value=1, max_value=2**32 - 1)


def test_latest_streams_are_cancelled_first():
    assert choose_orphaned_streams([4, 9, 6], highest=9, slots=1)[:3] == [
        9,
        6,
        4,
    ]


def test_unannounced_streams_follow():
    assert choose_orphaned_streams([], highest=0, slots=2) == [1, 2, 3, 4]


@given(strategies.lists(NUMBERS), strategies.integers(1, 64))
def test_every_announced_stream_is_chosen_once(running, slots):
    highest = max(running, default=0)
    chosen = choose_orphaned_streams(running, highest=highest, slots=slots)
    assert set(running) <= set(chosen)
    assert len(set(chosen)) == len(chosen)
