"""Upstreams that answer wrongly, told from the others of their service.

Load pattern: an upstream that fails each run at once is always idle, and so
gets most of the requests of its service.
"""

from .choice import find_outliers
from .record import OutlierRecord

__all__ = ["OutlierRecord", "find_outliers"]
