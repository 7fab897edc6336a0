"""The rates that the platform's store can keep up with."""

__all__ = ["is_write", "Pacer"]

READS = ("/v3/kv/range", "/v3/watch")


def is_write(path):
    """Return whether a call costs a write, as leases and transactions do."""
    return path not in READS


class Pacer:
    """Delays calls as a store of limited rates does.

    Parameters
    ----------
    clock : IReactorTime
    writes_per_second, reads_per_second : float
        0 is without limit.

    Notes
    -----
    Calls are served one after the other; each takes the inverse of its
    rate.
    """

    def __init__(self, *, clock, writes_per_second=0.0, reads_per_second=0.0):
        self.clock = clock
        self.writes_per_second = writes_per_second
        self.reads_per_second = reads_per_second
        self.free_at = 0.0

    def take(self, path):
        """Return the seconds after which a call is served."""
        rate = self.reads_per_second
        if is_write(path):
            rate = self.writes_per_second
        if not rate:
            return 0.0
        now = self.clock.seconds()
        self.free_at = max(self.free_at, now) + 1.0 / rate
        return self.free_at - now
