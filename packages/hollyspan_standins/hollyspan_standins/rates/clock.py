"""Simulated time for many calls."""

import heapq
import itertools

__all__ = ["HeapClock"]


class HeapClock:
    """Runs delayed calls in order, like `twisted.internet.task.Clock`.

    Notes
    -----
    That one sorts all calls whenever one is added, which takes most of the
    time of a fleet of hundreds of gateways.
    """

    def __init__(self):
        self.now = 100.0
        self.calls = []
        self.numbers = itertools.count()

    def seconds(self):
        return self.now

    def callLater(self, delay, function, *arguments):
        call = HeapCall(clock=self, function=function, arguments=arguments)
        call.reset(delay)
        return call

    def advance(self, seconds):
        """Let time pass."""
        until = self.now + seconds
        while self.calls and self.calls[0][0] <= until:
            at, number, call = heapq.heappop(self.calls)
            if call.number == number:
                self.now = at
                call.number = None
                call.function(*call.arguments)
        self.now = until


class HeapCall:
    """A delayed call that can be moved or cancelled."""

    def __init__(self, *, clock, function, arguments):
        self.clock = clock
        self.function = function
        self.arguments = arguments
        self.at = 0.0
        self.number = None

    def getTime(self):
        return self.at

    def reset(self, delay):
        self.at = self.clock.now + delay
        self.number = next(self.clock.numbers)
        heapq.heappush(self.clock.calls, (self.at, self.number, self))

    def cancel(self):
        self.number = None
