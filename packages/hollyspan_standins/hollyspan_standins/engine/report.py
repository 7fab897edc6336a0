"""The load report, which lags."""

from collections import deque
import time

__all__ = ["LoadReport"]

SAMPLE_SECONDS = 0.1


class LoadReport:
    """Samples of the load; readers get an old one.

    Parameters
    ----------
    clock : IReactorTime
    lag_seconds : float
    measure : callable
        Returns slots, running, waiting and the count of tokens so far.
    """

    def __init__(self, *, clock, lag_seconds, measure):
        self.clock = clock
        self.lag_seconds = lag_seconds
        self.measure = measure
        self.samples = deque()
        self.tokens = 0
        self.sample()

    def sample(self):
        """Take a sample; called every ``SAMPLE_SECONDS``."""
        now = self.clock.seconds()
        slots, running, waiting, tokens = self.measure()
        document = {
            "slots": slots,
            "running": running,
            "waiting": waiting,
            "tokens_per_second": (tokens - self.tokens) / SAMPLE_SECONDS,
            "reported_at": time.time(),
        }
        self.tokens = tokens
        self.samples.append((now, document))
        while len(self.samples) > 1 and self._is_old(self.samples[1], now):
            self.samples.popleft()

    def read(self):
        """Return the newest sample that is as old as the lag."""
        return self.samples[0][1]

    def _is_old(self, sample, now):
        return sample[0] <= now - self.lag_seconds
