"""State and utilities shared by the parts of one daemon."""

from .announcements import Announcements
from .departures import Departures
from .periodic import open_periodic
from .runtime import Runtime

__all__ = ["Announcements", "Departures", "Runtime", "open_periodic"]
