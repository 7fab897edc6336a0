"""Rate and concurrency limits of a workspace."""

__all__ = ["WorkspaceLimiter"]


class WorkspaceLimiter:
    """Token bucket and concurrency limit of one workspace.

    Parameters
    ----------
    rate : float
        Admitted requests per second.
    max_in_flight : int
        Largest number of requests in flight.
    now : float
        Monotonic seconds.
    """

    __slots__ = ("rate", "max_in_flight", "tokens", "updated", "in_flight")

    def __init__(self, *, rate, max_in_flight, now):
        self.rate = rate
        self.max_in_flight = max_in_flight
        self.tokens = max(1.0, rate)
        self.updated = now
        self.in_flight = 0

    def admit(self, *, now):
        """Admit one request, or return when to retry.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            0.0 when admitted, else seconds until a retry can succeed.
        """
        # At least 1: with a rate below 1, a bucket of that size would never
        # hold a whole token.
        burst = max(1.0, self.rate)
        self.tokens = min(
            burst, self.tokens + (now - self.updated) * self.rate
        )
        self.updated = now
        if self.tokens < 1:
            return (1 - self.tokens) / self.rate
        if self.in_flight >= self.max_in_flight:
            return 1.0
        self.tokens -= 1
        self.in_flight += 1
        return 0.0

    def release(self):
        """Record that one request has ended."""
        self.in_flight -= 1
