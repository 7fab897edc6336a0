"""Jobs of many items that run later."""

from .item import Item
from .item import ItemResult
from .job import Job

__all__ = ["Item", "ItemResult", "Job"]
