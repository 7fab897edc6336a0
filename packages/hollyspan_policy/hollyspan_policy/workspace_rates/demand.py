"""Measurement of demand of late."""

import math

__all__ = ["DemandMeter"]


class DemandMeter:
    """Counts events with a weight that decays exponentially.

    Parameters
    ----------
    seconds : float
        Time in which the weight of an event falls to 1/e.
    now : float

    Examples
    --------
    >>> meter = DemandMeter(seconds=1.0, now=0.0)
    >>> meter.add(2, now=0.0)
    >>> round(meter.measure(now=1.0), 2)
    0.74
    """

    __slots__ = ("seconds", "value", "updated_at")

    def __init__(self, *, seconds, now):
        self.seconds = seconds
        self.value = 0.0
        self.updated_at = now

    def add(self, count, *, now):
        """Count some events."""
        self.value = max(0.0, self.measure(now=now) + count)
        self.updated_at = max(now, self.updated_at)

    def measure(self, *, now):
        """Return the weighted number of events; a second, if the time is 1."""
        elapsed = max(0.0, now - self.updated_at)
        return self.value * math.exp(-elapsed / self.seconds)
