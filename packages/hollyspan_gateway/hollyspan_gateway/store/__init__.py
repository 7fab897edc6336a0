"""Client of the platform's store, independent of its wire format."""

from .client import Store
from .commit import Commit
from .mirror import Mirror
from .mirror import WATCH_TIMEOUT_S

__all__ = ["Commit", "Mirror", "Store", "WATCH_TIMEOUT_S"]
