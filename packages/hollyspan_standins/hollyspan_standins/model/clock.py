"""Clock of a simulation."""

import heapq
import itertools

__all__ = ["SimulationClock"]


class SimulatedCall:
    """A delayed call that can be cancelled, as a reactor returns it.

    Parameters
    ----------
    function : callable
    args : tuple
    """

    __slots__ = ("function", "args")

    def __init__(self, *, function, args):
        self.function = function
        self.args = args

    def cancel(self):
        """Make the call do nothing."""
        self.function = None

    def run(self):
        """Make the call unless it was cancelled."""
        if self.function is not None:
            self.function(*self.args)


class SimulationClock:
    """Clock that makes calls in the order of their simulated times.

    Attributes
    ----------
    now : float
        Simulated seconds since the start.
    """

    __slots__ = ("now", "calls", "numbers")

    def __init__(self):
        self.now = 0.0
        self.calls = []
        self.numbers = itertools.count()

    def seconds(self):
        """Return the current time, with the interface of a reactor."""
        return self.now

    def call_later(self, delay, function, *args):
        """Call a function after a delay, in seconds.

        Calls due at the same time are made in the order in which they were
        scheduled.
        """
        entry = (self.now + delay, next(self.numbers), function, args)
        heapq.heappush(self.calls, entry)

    def callLater(self, delay, function, *args):
        """Call a function after a delay, with the interface of a reactor."""
        call = SimulatedCall(function=function, args=args)
        self.call_later(delay, call.run)
        return call

    def run(self, *, until):
        """Make all calls due up to a time, in seconds."""
        while self.calls and self.calls[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self.calls)
            function(*args)
        self.now = until
