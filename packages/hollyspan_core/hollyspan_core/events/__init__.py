"""Server-sent events."""

from .parser import ERROR_PREFIXES
from .parser import EventParser

__all__ = ["ERROR_PREFIXES", "EventParser"]
