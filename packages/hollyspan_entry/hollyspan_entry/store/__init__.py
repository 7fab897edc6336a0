"""Client of the platform's store with a small interface."""

from hollyspan_core.store import Entry
from hollyspan_core.store import Page

from .client import open_store
from .client import Store
from .watch import Watch

__all__ = ["Entry", "Page", "Store", "Watch", "open_store"]
