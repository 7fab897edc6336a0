"""Limited rates of reads and writes of the store."""

__all__ = ["is_write", "Pacer"]

READ_PATHS = ("/v3/kv/range", "/v3/watch")


def is_write(path):
    """Return whether a call counts as a write.

    Lease calls and transactions count as writes.
    """
    return path not in READ_PATHS


class Pacer:
    """Computes the delays of calls at limited rates.

    Parameters
    ----------
    clock : IReactorTime
    writes_per_second, reads_per_second : float
        0 means no limit.

    Notes
    -----
    Calls are served one after the other. The service time of a call is the
    inverse of its rate.
    """

    def __init__(self, *, clock, writes_per_second=0.0, reads_per_second=0.0):
        self.clock = clock
        self.writes_per_second = writes_per_second
        self.reads_per_second = reads_per_second
        self.available_at = 0.0

    def reserve(self, path):
        """Schedule a call and return the seconds until it is served."""
        rate = self.reads_per_second
        if is_write(path):
            rate = self.writes_per_second
        if not rate:
            return 0.0
        now = self.clock.seconds()
        self.available_at = max(self.available_at, now) + 1.0 / rate
        return self.available_at - now
