"""Tests of messages that lack what identity needs."""

import pytest

from hollyspan_core.errors import PeerMessageError
from hollyspan_gateway.peers.codec import decode_message
from hollyspan_gateway.peers.codec import encode_message
from hollyspan_gateway.peers.message import FleetMessage
from hollyspan_policy.hashing import hash_parts


def build_message(incarnation, sequence, *, sender=5):
    return FleetMessage(
        sender=sender,
        incarnation=incarnation,
        sequence=sequence,
        is_full=True,
        loads=[],
    )


@pytest.mark.parametrize("fields", [{"sender": 0}, {"incarnation": 0}])
def test_a_message_without_sender_or_start_is_malformed(fields):
    values = {"incarnation": 1, "sequence": 1, **fields}
    datagram = encode_message(build_message(**values))
    with pytest.raises(PeerMessageError):
        decode_message(datagram)


def test_a_message_in_the_own_name_makes_no_peer(gateway):
    key = hash_parts(gateway.settings.instance)
    datagram = encode_message(build_message(9, 1, sender=key))
    gateway.peers.datagramReceived(datagram, ("10.0.0.66", 3))
    assert key not in gateway.peers.peers
    assert gateway.peers.intake.counts == {"peer:refused": 1}
