"""Client of the platform's store, apart from its wire format."""

from .client import Store
from .commit import Commit
from .mirror import Mirror

__all__ = ["Commit", "Mirror", "Store"]
