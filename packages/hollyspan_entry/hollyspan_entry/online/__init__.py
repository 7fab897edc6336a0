"""Online requests for models."""

from .part import open_online
from .record import RequestRecord

__all__ = ["RequestRecord", "open_online"]
