"""TCP links between daemons."""

from .part import open_links
from .pool import LinkPool

__all__ = ["LinkPool", "open_links"]
