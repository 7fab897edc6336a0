"""Event counts per minute over the last day."""

import array

__all__ = ["LONG_MINUTES", "SHORT_MINUTES", "Window"]

SHORT_MINUTES = 60
LONG_MINUTES = 24 * 60


class Window:
    """Counts good and total events in a ring of one-minute buckets.

    Parameters
    ----------
    minute : int
        Current minute of a monotonic clock.
    size : int, optional
        Number of buckets.
    """

    __slots__ = ("size", "minute", "good", "total")

    def __init__(self, *, minute, size=LONG_MINUTES):
        self.size = size
        self.minute = minute
        self.good = array.array("L", bytes(array.array("L").itemsize * size))
        self.total = array.array("L", self.good)

    def record(self, *, good, minute):
        """Count one event.

        Parameters
        ----------
        good : bool
            Whether the event meets the objective.
        minute : int
            Current minute.
        """
        self.advance(minute)
        index = minute % self.size
        self.total[index] += 1
        if good:
            self.good[index] += 1

    def advance(self, minute):
        """Clear the buckets whose events have left the window."""
        first = max(self.minute + 1, minute - self.size + 1)
        for elapsed in range(first, minute + 1):
            self.good[elapsed % self.size] = 0
            self.total[elapsed % self.size] = 0
        self.minute = max(self.minute, minute)

    def count(self, *, minutes, minute):
        """Sum the most recent buckets, including the current one.

        Parameters
        ----------
        minutes : int
            Number of buckets to sum.
        minute : int
            Current minute.

        Returns
        -------
        tuple of (int, int)
            Numbers of good and of all events.
        """
        self.advance(minute)
        last = range(minute - minutes + 1, minute + 1)
        buckets = [elapsed % self.size for elapsed in last]
        good = sum(self.good[bucket] for bucket in buckets)
        return good, sum(self.total[bucket] for bucket in buckets)
