"""Structured logs."""

from .bounded import BoundedLog
from .destination import open_bounded_log
from .destination import open_log

__all__ = ["BoundedLog", "open_bounded_log", "open_log"]
