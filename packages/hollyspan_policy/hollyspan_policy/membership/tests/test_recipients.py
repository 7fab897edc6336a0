"""Tests of the recipients and intervals of load messages."""

import collections

import pytest

from hollyspan_policy.membership import choose_coalescing_delay
from hollyspan_policy.membership import choose_heartbeat_interval
from hollyspan_policy.membership import choose_heartbeat_recipients
from hollyspan_policy.membership import choose_load_recipients
from hollyspan_policy.membership import count_heartbeats_per_round

Daemon = collections.namedtuple("Daemon", "key region runs_batch")

REGIONS = ("a", "b", "c")
HEARTBEATS_PER_ROUND = count_heartbeats_per_round(80)
# Two requests a second at each daemon, each with a start and an end.
LOAD_CHANGES_PER_S = 4.0


def build_fleet(count):
    return [
        Daemon(number, REGIONS[number % len(REGIONS)], number % 6 == 0)
        for number in range(count)
    ]


def count_received_per_second(count):
    """Return the number of datagrams that one daemon receives per second."""
    fleet = build_fleet(count)
    heartbeats = (count - 1) / choose_heartbeat_interval(count - 1)
    heartbeats /= count_heartbeats_per_round(count - 1)
    recipients = len(choose_load_recipients(fleet[1:], region="a", holders=()))
    return heartbeats + recipients * LOAD_CHANGES_PER_S


def test_small_fleet_sends_load_to_every_daemon():
    fleet = build_fleet(12)
    assert choose_load_recipients(fleet, region="a", holders=()) == fleet


def test_large_fleet_sends_load_to_same_region_and_batch_holders():
    fleet = build_fleet(80)
    holder = fleet[1]
    recipients = choose_load_recipients(fleet, region="a", holders={holder})
    assert holder in recipients
    assert {daemon.region for daemon in recipients if daemon != holder} == {
        "a"
    }
    assert len(recipients) == 28


def test_batch_only_changes_go_to_daemons_that_run_batch_work():
    fleet = build_fleet(80)
    recipients = choose_load_recipients(
        fleet, region="a", holders=(), is_batch_only=True
    )
    assert recipients
    assert all(daemon.runs_batch for daemon in recipients)
    small = fleet[:10]
    assert (
        choose_load_recipients(
            small, region="a", holders=(), is_batch_only=True
        )
        == small
    )


def test_large_fleet_coalesces_changes_for_longer():
    assert choose_coalescing_delay(12) < choose_coalescing_delay(80) < 0.05


@pytest.mark.parametrize(
    ("live", "seconds"), [(0, 0.3), (24, 0.3), (48, 0.6), (80, 1.0)]
)
def test_heartbeat_interval_grows_with_the_fleet(live, seconds):
    assert choose_heartbeat_interval(live) == pytest.approx(seconds)


def test_80_daemons_receive_less_than_twice_the_messages_of_24():
    assert count_received_per_second(80) < 2 * count_received_per_second(24)


@pytest.mark.parametrize("runs_batch", [True, False])
def test_each_daemon_receives_one_heartbeat_per_round(runs_batch):
    fleet = build_fleet(80)
    recipients = collections.Counter(
        peer
        for heartbeat_number in range(HEARTBEATS_PER_ROUND)
        for peer in choose_heartbeat_recipients(
            fleet,
            key=7,
            heartbeat_number=heartbeat_number,
            heartbeats_per_round=HEARTBEATS_PER_ROUND,
            runs_batch=runs_batch,
        )
    )
    assert set(recipients) == set(fleet)
    for peer, count in recipients.items():
        gets_every_heartbeat = runs_batch and peer.runs_batch
        assert count == (HEARTBEATS_PER_ROUND if gets_every_heartbeat else 1)


def test_small_fleet_sends_every_heartbeat_to_all():
    fleet = build_fleet(12)
    recipients = choose_heartbeat_recipients(
        fleet,
        key=7,
        heartbeat_number=3,
        heartbeats_per_round=count_heartbeats_per_round(12),
        runs_batch=False,
    )
    assert recipients == fleet


def test_heartbeat_recipients_are_spread_over_the_fleet():
    fleet = build_fleet(80)
    recipients = collections.Counter(
        peer
        for sender in fleet
        for peer in choose_heartbeat_recipients(
            fleet,
            key=sender.key,
            heartbeat_number=0,
            heartbeats_per_round=HEARTBEATS_PER_ROUND,
            runs_batch=False,
        )
    )
    assert set(recipients.values()) == {80 // HEARTBEATS_PER_ROUND}
