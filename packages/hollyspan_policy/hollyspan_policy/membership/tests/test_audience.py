"""Messages that a daemon gets, by the size of the fleet."""

import collections

import pytest

from hollyspan_policy.membership import choose_audience
from hollyspan_policy.membership import choose_beat_audience
from hollyspan_policy.membership import choose_beat_seconds
from hollyspan_policy.membership import choose_gathering
from hollyspan_policy.membership import count_round_beats

Daemon = collections.namedtuple("Daemon", "key region runs_batch")

REGIONS = ("a", "b", "c")
ROUND_BEATS = count_round_beats(80)
# Changes of load a second at each daemon: two requests that begin and end.
CHANGES = 4.0


def build_fleet(count):
    return [
        Daemon(number, REGIONS[number % len(REGIONS)], number % 6 == 0)
        for number in range(count)
    ]


def count_received(count):
    """Return the datagrams a second that one daemon gets."""
    fleet = build_fleet(count)
    beats = (count - 1) / choose_beat_seconds(count - 1)
    beats /= count_round_beats(count - 1)
    told = len(choose_audience(fleet[1:], region="a", holders=()))
    return beats + told * CHANGES


def test_all_of_a_small_fleet_are_told():
    fleet = build_fleet(12)
    assert choose_audience(fleet, region="a", holders=()) == fleet


def test_those_near_and_those_with_batch_work_are_told():
    fleet = build_fleet(80)
    holder = fleet[1]
    told = choose_audience(fleet, region="a", holders={holder})
    assert holder in told
    assert {daemon.region for daemon in told if daemon != holder} == {"a"}
    assert len(told) == 28


def test_batch_work_is_told_to_those_that_run_some():
    fleet = build_fleet(80)
    told = choose_audience(fleet, region="a", holders=(), is_batch_only=True)
    assert told
    assert all(daemon.runs_batch for daemon in told)
    small = fleet[:10]
    assert (
        choose_audience(small, region="a", holders=(), is_batch_only=True)
        == small
    )


def test_changes_of_a_large_fleet_wait_for_each_other():
    assert choose_gathering(12) < choose_gathering(80) < 0.05


@pytest.mark.parametrize(
    ("live", "seconds"), [(0, 0.3), (24, 0.3), (48, 0.6), (80, 1.0)]
)
def test_heartbeats_grow_rarer(live, seconds):
    assert choose_beat_seconds(live) == pytest.approx(seconds)


def test_the_messages_of_80_daemons_stay_near_those_of_a_small_fleet():
    assert count_received(80) < 2 * count_received(24)


@pytest.mark.parametrize("runs_batch", [True, False])
def test_each_daemon_is_told_once_in_a_round(runs_batch):
    fleet = build_fleet(80)
    told = collections.Counter(
        peer
        for beat in range(ROUND_BEATS)
        for peer in choose_beat_audience(
            fleet,
            key=7,
            beat=beat,
            rounds=ROUND_BEATS,
            runs_batch=runs_batch,
        )
    )
    assert set(told) == set(fleet)
    for peer, count in told.items():
        is_often = runs_batch and peer.runs_batch
        assert count == (ROUND_BEATS if is_often else 1)


def test_all_of_a_small_fleet_are_told_each_time():
    fleet = build_fleet(12)
    told = choose_beat_audience(
        fleet, key=7, beat=3, rounds=count_round_beats(12), runs_batch=False
    )
    assert told == fleet


def test_daemons_do_not_all_tell_the_same_ones():
    fleet = build_fleet(80)
    told = collections.Counter(
        peer
        for sender in fleet
        for peer in choose_beat_audience(
            fleet,
            key=sender.key,
            beat=0,
            rounds=ROUND_BEATS,
            runs_batch=False,
        )
    )
    assert set(told.values()) == {80 // ROUND_BEATS}
