"""The holder's view of its lease."""

__all__ = ["LeaseTerm"]


class LeaseTerm:
    """Time until which a holder may rely on its lease.

    Counted from the moment the last answered renewal was SENT, on the
    holder's monotonic clock, less a margin.

    Parameters
    ----------
    ttl, margin : float
        Seconds.
    sent : float
        Monotonic seconds when the grant was sent.
    """

    __slots__ = ("ttl", "margin", "renewed")

    def __init__(self, *, ttl, margin, sent):
        self.ttl = ttl
        self.margin = margin
        self.renewed = sent

    def renew(self, *, sent):
        """Note an answered renewal.

        Parameters
        ----------
        sent : float
            Monotonic seconds when the renewal was sent.
        """
        self.renewed = max(self.renewed, sent)

    def count_seconds_left(self, *, now):
        """Return how long the lease can still be trusted.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Seconds; not above 0 when nothing new may be started.
        """
        return self.renewed + self.ttl - self.margin - now
