"""Shares of a loop's work between the programs that it reads from."""

__all__ = ["WorkShares"]

# Time for which a sender counts among those over their shares after it has
# used up its own.
EXCESS_S = 10.0
# Shortest wait: a rounding error of the clock must not be a wait of its own.
MIN_WAIT_S = 0.001


class WorkShares:
    """Divides the work of reading between senders.

    Parameters
    ----------
    rate : float
        Work that one sender may cause, pieces a second.
    burst : float
        Work that a sender may cause at once after a pause, pieces.
    max_senders : int, optional
        Senders remembered at most; the one that has rested longest is
        forgotten first.
    excess_rate : float, optional
        Work that all senders over their shares may cause together, pieces a
        second; without it, each is limited by itself only.

    Notes
    -----
    A sender that exceeds its share is read later, and no other sender waits
    for it. Each sender has a bucket of tokens, which may be overdrawn by one
    slice, since a slice is counted when it has been read. Senders over their
    shares divide `excess_rate`, so that several of them take no multiple of
    one share.
    """

    __slots__ = (
        "rate",
        "burst",
        "max_senders",
        "excess_rate",
        "buckets",
        "excess",
    )

    def __init__(self, *, rate, burst, max_senders=4096, excess_rate=None):
        self.rate = rate
        self.burst = burst
        self.max_senders = max_senders
        self.excess_rate = excess_rate
        self.buckets = {}
        # Time at which they used up their shares last, oldest first.
        self.excess = {}

    def charge(self, sender, work, *, now):
        """Charge a sender for work that it has caused.

        Parameters
        ----------
        sender : hashable
            What counts as one program, such as an address.
        work : float
            Pieces.
        now : float
            Seconds.

        Returns
        -------
        float
            Seconds until more may be read from it, 0 for at once.
        """
        tokens = self.measure(sender, now=now) - work
        self.buckets.pop(sender, None)
        self.buckets[sender] = (tokens, now)
        if len(self.buckets) > self.max_senders:
            forgotten = next(iter(self.buckets))
            self.buckets.pop(forgotten)
            self.excess.pop(forgotten, None)
        if tokens < 0.0:
            self.excess.pop(sender, None)
            self.excess[sender] = now
        return self.convert_to_wait(sender, tokens, now=now)

    def find_wait(self, sender, *, now):
        """Return the seconds until a sender may be read, 0 for at once."""
        return self.convert_to_wait(
            sender, self.measure(sender, now=now), now=now
        )

    def convert_to_wait(self, sender, tokens, *, now):
        """Return the seconds until a sender has tokens again."""
        if tokens >= 0.0:
            return 0.0
        return max(MIN_WAIT_S, -tokens / self.find_rate(sender, now=now))

    def find_rate(self, sender, *, now):
        """Return the rate of a sender, in pieces a second."""
        while self.excess:
            oldest = next(iter(self.excess))
            if now - self.excess[oldest] < EXCESS_S:
                break
            self.excess.pop(oldest)
        if self.excess_rate is None or sender not in self.excess:
            return self.rate
        return min(self.rate, self.excess_rate / len(self.excess))

    def measure(self, sender, *, now):
        """Return the work that a sender may cause now, in pieces."""
        tokens, updated_at = self.buckets.get(sender, (self.burst, now))
        elapsed = max(0.0, now - updated_at)
        refill = elapsed * self.find_rate(sender, now=now)
        return min(self.burst, tokens + refill)
