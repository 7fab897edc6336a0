"""Time of a simulation."""

import heapq
import itertools

__all__ = ["SimulationClock"]


class SimulationClock:
    """Runs calls in the order of their simulated times.

    Attributes
    ----------
    now : float
        Seconds since the start.
    """

    __slots__ = ("now", "calls", "numbers")

    def __init__(self):
        self.now = 0.0
        self.calls = []
        self.numbers = itertools.count()

    def seconds(self):
        """Return the time, as a reactor does."""
        return self.now

    def call_later(self, delay, function, *args):
        """Call a function after some seconds.

        Calls of the same moment are made in the order in which they were
        asked for.
        """
        entry = (self.now + delay, next(self.numbers), function, args)
        heapq.heappush(self.calls, entry)

    def run(self, *, until):
        """Make all calls up to a time, seconds."""
        while self.calls and self.calls[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self.calls)
            function(*args)
        self.now = until
