"""Limits on what a gateway reads of other programs and keeps for them."""

from .served import DatagramIntake
from .served import MALFORMED_DATAGRAM_WORK
from .served import MAX_ALL_BODY_BYTES
from .served import MAX_CONNECTIONS
from .served import MAX_DATAGRAM_WORDS
from .served import MAX_EXCESS_BODY_BYTES
from .served import MAX_UNREGISTERED_PEERS
from .served import MIN_BODY_RATE
from .served import ReadGate
from .served import ServedIntake

__all__ = [
    "DatagramIntake",
    "MALFORMED_DATAGRAM_WORK",
    "MAX_ALL_BODY_BYTES",
    "MAX_CONNECTIONS",
    "MAX_DATAGRAM_WORDS",
    "MAX_EXCESS_BODY_BYTES",
    "MAX_UNREGISTERED_PEERS",
    "MIN_BODY_RATE",
    "ReadGate",
    "ServedIntake",
]
