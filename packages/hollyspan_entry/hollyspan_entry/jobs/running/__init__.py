"""Claiming of chunks and execution of their items on upstreams."""

from .ownership import build_member_listener
from .runner import JobRunner
from .runner import TICK_INTERVAL_S

__all__ = [
    "JobRunner",
    "TICK_INTERVAL_S",
    "build_member_listener",
]
