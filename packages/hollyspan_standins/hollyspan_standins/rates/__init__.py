"""Fleet that admits requests by the rates of workspaces, in simulated time."""

from .clock import HeapClock
from .fleet import RateFleet

__all__ = ["HeapClock", "RateFleet"]
