"""Limit on the work that waits, shared by all daemons."""

from .reservation import choose_reservation
from .retry_after import estimate_retry_after
from .share import compute_rooms
from .share import Share

__all__ = [
    "Share",
    "choose_reservation",
    "compute_rooms",
    "estimate_retry_after",
]
