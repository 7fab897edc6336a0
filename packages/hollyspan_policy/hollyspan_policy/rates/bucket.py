"""Token bucket of one daemon for one upstream."""

import math

__all__ = ["RateBucket"]

# Time whose requests may be sent at once after a pause, at least one request:
# the limits of some upstreams last through a wave of online requests.
BURST_S = 2.0
# Requests that may be sent ahead of the rate when answers that have begun must
# go on.
MAX_DEBT = 1.0


class RateBucket:
    """Counts how many requests may be sent at a rate.

    Parameters
    ----------
    rate : float
        Requests a second.
    now : float
        Seconds.

    Notes
    -----
    It begins empty: the daemon that had the share before may just have used
    it.
    """

    __slots__ = ("rate", "tokens", "updated_at")

    def __init__(self, *, rate, now):
        self.rate = rate
        self.tokens = 0.0
        self.updated_at = now

    def refill(self, *, now):
        """Add the tokens of the time that has passed."""
        elapsed = max(0.0, now - self.updated_at)
        self.tokens = min(self.capacity, self.tokens + elapsed * self.rate)
        self.updated_at = now

    @property
    def capacity(self):
        """Most requests that may be sent at once."""
        return max(1.0, BURST_S * self.rate)

    def is_full(self, *, now):
        """Return whether a request that is not sent now is lost."""
        self.refill(now=now)
        return self.tokens >= self.capacity

    def set_rate(self, rate, *, now):
        """Set another rate from now on."""
        self.refill(now=now)
        self.rate = rate

    def may_send(self, *, now, is_continued=False):
        """Return whether a request may be sent now.

        Parameters
        ----------
        now : float
        is_continued : bool, optional
            True for a request whose answer has begun elsewhere.
        """
        if not self.rate:
            return False
        self.refill(now=now)
        return self.tokens >= (1.0 - MAX_DEBT if is_continued else 1.0)

    def spend(self, *, now):
        """Count a request that is sent."""
        self.refill(now=now)
        self.tokens -= 1.0

    def measure_wait(self, *, now):
        """Return the seconds until the next request may be sent."""
        if not self.rate:
            return math.inf
        self.refill(now=now)
        return max(0.0, 1.0 - self.tokens) / self.rate
