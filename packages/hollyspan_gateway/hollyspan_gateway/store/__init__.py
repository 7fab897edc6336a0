"""Client of the platform's store, independent of its wire format."""

from .client import Store
from .commit import Commit
from .mirror import Mirror

__all__ = ["Commit", "Mirror", "Store"]
