"""Tests of which process of a gateway's name is the current one."""

import pytest

from hollyspan_gateway.peers.message import FleetMessage
from hollyspan_gateway.peers.peer import Peer
from hollyspan_policy.hashing import hash_parts
from hollyspan_standins.memory import MemoryNetwork

BEAT_S = 0.3
# Three missed heartbeats and the longest delay of one.
SILENCE_S = 1.0
LATE_START = 1_700_000_009_000_000
EARLY_START = 1_700_000_000_000_000


def build_message(incarnation, sequence):
    return FleetMessage(
        sender=5,
        incarnation=incarnation,
        sequence=sequence,
        is_full=True,
        loads=[],
        heartbeat_seconds=BEAT_S,
    )


@pytest.fixture
def peer():
    """A peer of which the last process has sent some messages until 1 s."""
    peer = Peer(key=5, address=("10.0.0.7", 3))
    for sequence in range(1, 6):
        assert peer.apply(build_message(LATE_START, sequence), now=1.0)
    return peer


# Failure: a gateway that started again behind a clock stepped back was
# ignored by its peers for good.
def test_a_process_behind_a_clock_set_back_takes_over(peer):
    heard = [
        now
        for number, now in enumerate((1.1, 1.4, 1.7, 2.1, 2.4, 2.7), 1)
        if peer.apply(build_message(EARLY_START, number), now=now)
    ]
    assert heard == [2.4, 2.7]
    assert peer.incarnation == EARLY_START and peer.is_live(2.7)


def test_late_messages_of_an_ended_process_do_not_take_over(peer):
    late = build_message(EARLY_START, 900)
    assert peer.apply(late, now=1.1) is None
    assert peer.apply(late, now=1.1 + SILENCE_S) is None
    assert peer.apply(late, now=1.2 + SILENCE_S) is None
    earlier = build_message(EARLY_START, 899)
    assert peer.apply(earlier, now=1.3 + SILENCE_S) is None
    assert peer.incarnation == LATE_START


def test_a_process_that_is_heard_again_stays_the_current_one(peer):
    now = 1.1 + SILENCE_S
    assert peer.apply(build_message(EARLY_START, 1), now=now) is None
    assert peer.apply(build_message(LATE_START, 6), now=now + 0.1)
    for number in range(2, 9):
        message = build_message(EARLY_START, number)
        assert peer.apply(message, now=now + 0.1 + number / 10) is None
    # It has to be silent for the whole time once more.
    assert peer.incarnation == LATE_START


def test_a_process_that_was_replaced_does_not_come_back_at_once(peer):
    for number in (1, 2):
        peer.apply(build_message(EARLY_START, number), now=1.0 + 2 * SILENCE_S)
    assert peer.incarnation == EARLY_START
    late = build_message(LATE_START, 99)
    assert peer.apply(late, now=1.1 + 2 * SILENCE_S) is None
    assert peer.apply(build_message(EARLY_START, 3), now=3.1)
    # A process that starts by a clock set right again counts at once.
    assert peer.apply(build_message(LATE_START + 1, 1), now=3.2)
    assert peer.apply(build_message(EARLY_START, 4), now=3.3) is None


def test_loads_of_the_process_before_are_dropped(peer):
    peer.loads = {7: (1, 0)}
    for number in (1, 2):
        change = peer.apply(
            build_message(EARLY_START, number), now=1.0 + 2 * SILENCE_S
        )
    assert set(change.upstreams) == {7} and peer.loads == {}


def test_peers_hear_a_gateway_that_starts_behind_a_clock_set_back(
    build_gateway, reactor
):
    network = MemoryNetwork()
    first = build_gateway(name="a", incarnation=LATE_START)
    other = build_gateway(name="b", incarnation=LATE_START)
    for port, gateway in enumerate((first, other), 1):
        network.join(gateway, port)
        gateway.peers.add({"a": ("10.0.0.1", 1), "b": ("10.0.0.1", 2)})
    reactor.pump([0.1] * 10)
    for _ in range(3):
        first.peers.send_heartbeat()
        other.peers.send_heartbeat()
    assert len(other.peers.list_live()) == 1
    again = build_gateway(name="a", incarnation=EARLY_START)
    network.join(again, 1)
    again.peers.add({"b": ("10.0.0.1", 2)})
    for _ in range(20):
        again.peers.send_heartbeat()
        other.peers.send_heartbeat()
        reactor.advance(BEAT_S)
    (peer,) = other.peers.list_live()
    assert (peer.key, peer.incarnation) == (hash_parts("a"), EARLY_START)
