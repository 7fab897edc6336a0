"""Tests of the turns of watches over whole fleets."""

import pytest

from hollyspan_policy.freshness import choose_asking_age
from hollyspan_policy.freshness import choose_watch_wait
from hollyspan_policy.freshness import rank_watcher

INTERVAL_S = 1.2
LONGEST_S = 15.0


def play_turns(phases, *, seconds):
    """Return the times at which watches end, first ones at given times."""
    ends = {name: at for name, at in enumerate(phases)}
    times = []
    while min(ends.values()) < seconds:
        name = min(ends, key=ends.get)
        now = ends[name]
        times.append(now)
        ends[name] = now + choose_watch_wait(
            0,
            watchers=len(phases),
            interval=INTERVAL_S,
            longest=LONGEST_S,
            is_first=False,
            peer_ages=[now - at for at in times[:-1]],
        )
    return times


def measure_gaps(times):
    return [later - earlier for earlier, later in zip(times, times[1:])]


@pytest.mark.parametrize("watchers", [1, 2, 3, 6, 12, 40, 390])
def test_watches_that_begin_together_end_in_turn(watchers):
    ends = sorted(
        choose_watch_wait(
            rank,
            watchers=watchers,
            interval=INTERVAL_S,
            longest=LONGEST_S,
            is_first=True,
        )
        for rank in range(watchers)
    )
    times = play_turns(ends, seconds=120.0)
    assert max(measure_gaps([0.0, *times])) <= INTERVAL_S + 1e-6
    # No more calls than with the longest wait for all, or one an interval.
    assert len(times) <= 121.0 * max(1 / INTERVAL_S, watchers / LONGEST_S)


# Failure: gateways that differ in who is live choose the same turn, so that a
# gap is left in each round.
@pytest.mark.parametrize("watchers", [3, 6, 10])
def test_watches_that_share_a_turn_move_on(watchers):
    phases = [INTERVAL_S] * (watchers // 2) + [
        INTERVAL_S * (rank + 1) for rank in range(watchers // 2, watchers)
    ]
    times = play_turns(phases, seconds=200.0)
    late = [at for at in times if at > 150.0]
    assert max(measure_gaps(late)) <= 1.05 * INTERVAL_S


def test_each_has_its_own_rank_and_another_one_for_each_copy():
    names = {f"g{number}" for number in range(40)}
    orders = {
        copy: {
            each: rank_watcher(each, name=copy, others=names - {each})
            for each in names
        }
        for copy in ("jobs", "upstreams")
    }
    for ranks in orders.values():
        assert sorted(ranks.values()) == list(range(40))
    assert orders["jobs"] != orders["upstreams"]


# Load: the connections of a whole fleet fall silent at one moment.
def test_a_large_fleet_does_not_ask_at_one_moment():
    ages = sorted(
        choose_asking_age(rank, interval=INTERVAL_S, chance=rank / 390)
        for rank in range(390)
    )
    assert ages[0] < 2.0
    # An answer is told in a tenth of a second; few ask in that time.
    assert ages[1] - ages[0] >= 0.1
    for start in ages:
        assert sum(start <= age < start + 0.1 for age in ages) <= 30
