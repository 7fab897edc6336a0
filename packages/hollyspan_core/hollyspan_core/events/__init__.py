"""Server-sent events."""

from .fields import has_only_fields
from .parser import ERROR_PREFIXES
from .parser import EventParser

__all__ = ["ERROR_PREFIXES", "EventParser", "has_only_fields"]
