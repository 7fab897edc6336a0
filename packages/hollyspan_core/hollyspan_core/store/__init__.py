"""Types and constants shared by clients of the platform's store."""

from .entry import Entry
from .entry import Page
from .entry import TOKEN_BYTES

__all__ = ["Entry", "Page", "TOKEN_BYTES"]
