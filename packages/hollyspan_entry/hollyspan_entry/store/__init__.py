"""Client of the platform's store, behind a small port."""

from .client import open_store
from .client import Store
from .entry import Entry
from .entry import Page
from .watch import Watch

__all__ = ["Entry", "Page", "Store", "Watch", "open_store"]
