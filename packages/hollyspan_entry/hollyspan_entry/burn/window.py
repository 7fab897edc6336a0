"""Counts of the last day, by the minute."""

import array

__all__ = ["LONG_MINUTES", "SHORT_MINUTES", "Window"]

SHORT_MINUTES = 60
LONG_MINUTES = 24 * 60


class Window:
    """Good and total events in a ring of one-minute buckets.

    Parameters
    ----------
    minute : int
        The current minute, of any clock that only rises.
    size : int, optional
        Buckets.
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
            Whether it meets the objective.
        minute : int
        """
        self.advance(minute)
        index = minute % self.size
        self.total[index] += 1
        if good:
            self.good[index] += 1

    def advance(self, minute):
        """Empty the buckets that have come round again."""
        first = max(self.minute + 1, minute - self.size + 1)
        for passed in range(first, minute + 1):
            self.good[passed % self.size] = 0
            self.total[passed % self.size] = 0
        self.minute = max(self.minute, minute)

    def count(self, *, minutes, minute):
        """Sum the last buckets, the current one included.

        Parameters
        ----------
        minutes : int
            How many.
        minute : int
            The current minute.

        Returns
        -------
        tuple of (int, int)
            Good and total events.
        """
        self.advance(minute)
        last = range(minute - minutes + 1, minute + 1)
        places = [passed % self.size for passed in last]
        good = sum(self.good[place] for place in places)
        return good, sum(self.total[place] for place in places)
