"""What the parts of one daemon share."""

from .announcements import Announcements
from .departures import Departures
from .periodic import open_periodic
from .runtime import Runtime

__all__ = ["Announcements", "Departures", "Runtime", "open_periodic"]
