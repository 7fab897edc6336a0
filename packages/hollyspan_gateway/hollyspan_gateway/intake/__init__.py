"""Limits on what a gateway reads of other programs and keeps for them."""

from .served import MAX_CONNECTIONS
from .served import MAX_EXCESS_BODY_BYTES
from .served import MIN_BODY_RATE
from .served import ReadGate
from .served import ServedIntake

__all__ = [
    "MAX_CONNECTIONS",
    "MAX_EXCESS_BODY_BYTES",
    "MIN_BODY_RATE",
    "ReadGate",
    "ServedIntake",
]
