"""Batch jobs: submission, execution of their items, and results."""

from .item import Item
from .item import ItemResult
from .job import Job

__all__ = ["Item", "ItemResult", "Job"]
