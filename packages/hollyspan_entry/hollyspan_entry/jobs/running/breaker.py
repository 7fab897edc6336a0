"""Circuit breaker for upstreams that fail every item."""

__all__ = ["CircuitBreaker"]

FAILURES_TO_OPEN = 3
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0


class CircuitBreaker:
    """Circuit breaker of one upstream.

    After `FAILURES_TO_OPEN` consecutive failures, items are tried one at a
    time with an exponentially increasing back-off. A faulty upstream thus uses
    up the attempts of a few items instead of all of them.

    Attributes
    ----------
    failures : int
        Number of consecutive failures.
    open_until : float
        Monotonic seconds before which no item is tried.

    Examples
    --------
    >>> breaker = CircuitBreaker()
    >>> for _ in range(3):
    ...     breaker.record_failure(now=0.0)
    >>> breaker.count_allowed(running=0, now=0.5)
    0
    >>> breaker.count_allowed(running=0, now=1.0)
    1
    """

    __slots__ = ("failures", "open_until")

    def __init__(self):
        self.failures = 0
        self.open_until = 0.0

    def record_success(self):
        """Record that the upstream completed an item."""
        self.failures = 0

    def record_failure(self, *, now):
        """Record that the upstream failed an item.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self.failures += 1
        excess = self.failures - FAILURES_TO_OPEN
        if excess >= 0:
            pause = INITIAL_BACKOFF_S * 2 ** min(excess, 10)
            self.open_until = now + min(pause, MAX_BACKOFF_S)

    def count_allowed(self, *, running, now):
        """Return how many items may start, or None if there is no limit.

        Parameters
        ----------
        running : int
            Number of items running at the upstream.
        now : float
            Monotonic seconds.

        Returns
        -------
        int or None
        """
        if self.failures < FAILURES_TO_OPEN:
            return None
        if now < self.open_until:
            return 0
        return max(0, 1 - running)
