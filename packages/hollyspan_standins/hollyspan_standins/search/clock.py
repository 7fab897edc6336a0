"""Clocks of the processes of a simulation."""

import heapq
import itertools

from twisted.internet import error

__all__ = ["ProcessClock", "SearchClock"]


class Timer:
    """Delayed call, with the interface of Twisted's IDelayedCall."""

    __slots__ = (
        "clock",
        "process",
        "time",
        "number",
        "function",
        "args",
        "kwargs",
        "is_active",
        "was_cancelled",
    )

    def __init__(self, *, clock, process, time, function, args, kwargs):
        self.clock = clock
        self.process = process
        self.time = time
        self.number = 0
        self.function = function
        self.args = args
        self.kwargs = kwargs
        self.is_active = True
        self.was_cancelled = False

    def active(self):
        return self.is_active

    def getTime(self):
        return self.time

    def require_active(self):
        if self.was_cancelled:
            raise error.AlreadyCancelled
        if not self.is_active:
            raise error.AlreadyCalled

    def cancel(self):
        self.require_active()
        self.is_active = False
        self.was_cancelled = True
        self.function = self.args = self.kwargs = None

    def reset(self, seconds):
        self.require_active()
        self.time = self.clock.now + seconds
        self.clock.push(self)

    def delay(self, seconds):
        self.require_active()
        self.time += seconds
        self.clock.push(self)


class SearchClock:
    """Simulated time of all processes.

    Calls are made in the order of their times; those due at the same time in
    the order in which they were scheduled.

    Parameters
    ----------
    now : float
    on_error : callable
        Called with the exception of a call that fails.

    Attributes
    ----------
    calls_made : int
    """

    def __init__(self, *, now, on_error):
        self.now = now
        self.on_error = on_error
        self.calls = []
        self.numbers = itertools.count(1)
        self.calls_made = 0

    def seconds(self):
        return self.now

    def callLater(self, delay, function, *args, **kwargs):
        return self.add(None, delay, function, args, kwargs)

    def add(self, process, delay, function, args, kwargs):
        """Add a call of a process, None for the world around all of them."""
        timer = Timer(
            clock=self,
            process=process,
            time=self.now + delay,
            function=function,
            args=args,
            kwargs=kwargs,
        )
        self.push(timer)
        return timer

    def push(self, timer):
        timer.number = next(self.numbers)
        heapq.heappush(self.calls, (timer.time, timer.number, timer))

    def run(self, *, until):
        """Make all calls due up to a time."""
        while self.calls and self.calls[0][0] <= until:
            time, number, timer = heapq.heappop(self.calls)
            if not timer.is_active or timer.number != number:
                continue
            if timer.process is not None and not timer.process.is_running:
                # A process that stands still makes it later, in its turn.
                timer.process.parked.append(timer)
                continue
            self.now = max(self.now, time)
            self.calls_made += 1
            timer.is_active = False
            try:
                timer.function(*timer.args, **timer.kwargs)
            except Exception as failure:
                # The loop of a process goes on, too.
                self.on_error(failure)
        self.now = max(self.now, until)


class ProcessClock:
    """Reactor of one process, whose calls wait while it stands still.

    Parameters
    ----------
    clock : SearchClock
    process : object
        With the attributes `is_running` and `parked`.

    Attributes
    ----------
    stop : callable
        Called without arguments when the process ends by itself.
    """

    def __init__(self, *, clock, process):
        self.clock = clock
        self.process = process
        self.stop = lambda: None

    def seconds(self):
        return self.clock.now

    def callLater(self, delay, function, *args, **kwargs):
        return self.clock.add(self.process, delay, function, args, kwargs)

    def resume(self):
        """Schedule the calls that became due meanwhile."""
        parked, self.process.parked = self.process.parked, []
        for timer in parked:
            if timer.is_active:
                self.clock.push(timer)
