"""Limits on what one workspace may ask for."""

__all__ = ["WorkspaceLimiter"]


class WorkspaceLimiter:
    """Token bucket and concurrency count of one workspace.

    Parameters
    ----------
    rate : float
        Requests a second.
    concurrent : int
        Requests in flight.
    now : float
        Monotonic seconds.
    """

    __slots__ = ("rate", "concurrent", "tokens", "updated", "running")

    def __init__(self, *, rate, concurrent, now):
        self.rate = rate
        self.concurrent = concurrent
        self.tokens = max(1.0, rate)
        self.updated = now
        self.running = 0

    def enter(self, *, now):
        """Take one request in, or say when to come back.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            0.0 when taken in, else seconds until the next try can succeed.
        """
        # A rate below 1 would never fill a bucket of its own size.
        size = max(1.0, self.rate)
        self.tokens = min(size, self.tokens + (now - self.updated) * self.rate)
        self.updated = now
        if self.tokens < 1:
            return (1 - self.tokens) / self.rate
        if self.running >= self.concurrent:
            return 1.0
        self.tokens -= 1
        self.running += 1
        return 0.0

    def leave(self):
        """Note that one request has ended."""
        self.running -= 1
