"""Speeds of upstreams that differ from each other and from time to time."""

from .moves import helps_to_move
from .paces import EventPaces
from .paces import MIN_PACE_EVENTS
from .record import SlownessRecord

__all__ = [
    "EventPaces",
    "MIN_PACE_EVENTS",
    "SlownessRecord",
    "helps_to_move",
]
