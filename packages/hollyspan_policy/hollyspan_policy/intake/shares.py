"""Shares of a loop's work between the programs that it reads from."""

__all__ = ["WorkShares"]


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

    Notes
    -----
    A sender that exceeds its share is read later, and no other sender waits
    for it. Each sender has a bucket of tokens, which may be overdrawn by one
    slice, since a slice is counted when it has been read.
    """

    __slots__ = ("rate", "burst", "max_senders", "buckets")

    def __init__(self, *, rate, burst, max_senders=4096):
        self.rate = rate
        self.burst = burst
        self.max_senders = max_senders
        self.buckets = {}

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
            self.buckets.pop(next(iter(self.buckets)))
        return max(0.0, -tokens / self.rate)

    def measure(self, sender, *, now):
        """Return the work that a sender may cause now, in pieces."""
        tokens, updated_at = self.buckets.get(sender, (self.burst, now))
        elapsed = max(0.0, now - updated_at)
        return min(self.burst, tokens + elapsed * self.rate)
