"""Claiming of chunks and running of their items."""

from .ownership import build_member_listener
from .runner import JobRunner
from .runner import TICK_SECONDS

__all__ = [
    "JobRunner",
    "TICK_SECONDS",
    "build_member_listener",
]
