"""Protection of items from an upstream that fails all of them."""

__all__ = ["Breaker"]

FAILURES_TO_OPEN = 3
FIRST_PAUSE_SECONDS = 1.0
LONGEST_PAUSE_SECONDS = 8.0


class Breaker:
    """Circuit breaker of one upstream.

    After some failures in a row without a success, one item at a time is
    tried, with pauses that double. So an upstream that is out of order uses
    up the attempts of a few items and not of all.

    Attributes
    ----------
    failures : int
        In a row.
    closed_at : float
        Monotonic seconds before which nothing is tried.

    Examples
    --------
    >>> breaker = Breaker()
    >>> for _ in range(3):
    ...     breaker.note_failure(now=0.0)
    >>> breaker.count_allowed(running=0, now=0.5)
    0
    >>> breaker.count_allowed(running=0, now=1.0)
    1
    """

    __slots__ = ("failures", "closed_at")

    def __init__(self):
        self.failures = 0
        self.closed_at = 0.0

    def note_success(self):
        """Note that the upstream has done an item."""
        self.failures = 0

    def note_failure(self, *, now):
        """Note that the upstream has failed an item.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self.failures += 1
        excess = self.failures - FAILURES_TO_OPEN
        if excess >= 0:
            pause = FIRST_PAUSE_SECONDS * 2 ** min(excess, 10)
            self.closed_at = now + min(pause, LONGEST_PAUSE_SECONDS)

    def count_allowed(self, *, running, now):
        """Return how many items may start, or None for no limit.

        Parameters
        ----------
        running : int
            Items that run at the upstream.
        now : float
            Monotonic seconds.

        Returns
        -------
        int or None
        """
        if self.failures < FAILURES_TO_OPEN:
            return None
        if now < self.closed_at:
            return 0
        return max(0, 1 - running)
