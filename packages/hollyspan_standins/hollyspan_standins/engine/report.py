"""Load report with a delay."""

from collections import deque
import time

__all__ = ["LoadReport"]

SAMPLE_INTERVAL_S = 0.1


class LoadReport:
    """Samples of the load, readable after a delay.

    Parameters
    ----------
    clock : IReactorTime
    lag_seconds : float
        Age of the sample that readers get.
    measure : callable
        Returns the number of slots, running streams, waiting streams and
        tokens generated so far.
    """

    def __init__(self, *, clock, lag_seconds, measure):
        self.clock = clock
        self.lag_seconds = lag_seconds
        self.measure = measure
        self.samples = deque()
        self.tokens = 0
        self.sample()

    def sample(self):
        """Take a sample; called every ``SAMPLE_INTERVAL_S``."""
        now = self.clock.seconds()
        slots, running, waiting, tokens = self.measure()
        document = {
            "slots": slots,
            "running": running,
            "waiting": waiting,
            "tokens_per_second": (tokens - self.tokens) / SAMPLE_INTERVAL_S,
            "reported_at": time.time(),
        }
        self.tokens = tokens
        self.samples.append((now, document))
        while len(self.samples) > 1 and self._is_old(self.samples[1], now):
            self.samples.popleft()

    def read(self):
        """Return the newest sample that is at least as old as the lag."""
        return self.samples[0][1]

    def _is_old(self, sample, now):
        return sample[0] <= now - self.lag_seconds
