"""TCP links between daemons."""

from .part import open_links
from .pool import Links

__all__ = ["Links", "open_links"]
