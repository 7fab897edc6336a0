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
    wall : float, optional
        Seconds since the epoch when the grant was sent.

    Notes
    -----
    A monotonic clock may stand still while the machine is suspended. With
    the time since the epoch beside it, the larger of the two elapsed times
    counts. A clock that is set forward ends the lease early, which is
    safe; one that is set back changes nothing.
    """

    __slots__ = ("ttl", "margin", "renewed", "renewed_wall")

    def __init__(self, *, ttl, margin, sent, wall=None):
        self.ttl = ttl
        self.margin = margin
        self.renewed = sent
        self.renewed_wall = wall

    def renew(self, *, sent, wall=None):
        """Note an answered renewal.

        Parameters
        ----------
        sent : float
            Monotonic seconds when the renewal was sent.
        wall : float, optional
            Seconds since the epoch when the renewal was sent.
        """
        if sent < self.renewed:
            return
        self.renewed = sent
        self.renewed_wall = wall

    def count_seconds_left(self, *, now, wall=None):
        """Return how long the lease can still be trusted.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        wall : float, optional
            Seconds since the epoch.

        Returns
        -------
        float
            Seconds; not above 0 when nothing new may be started.
        """
        elapsed = now - self.renewed
        if wall is not None and self.renewed_wall is not None:
            elapsed = max(elapsed, wall - self.renewed_wall)
        return self.ttl - self.margin - elapsed

    def outlasts(self, seconds, *, now, wall=None):
        """Return whether the lease holds until a call has timed out.

        Parameters
        ----------
        seconds : float
            Timeout of the call.
        now : float
            Monotonic seconds.
        wall : float, optional
            Seconds since the epoch.

        Returns
        -------
        bool
        """
        return self.count_seconds_left(now=now, wall=wall) > seconds
