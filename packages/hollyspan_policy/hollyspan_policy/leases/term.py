"""Validity of a lease from its holder's point of view."""

__all__ = ["LeaseTerm"]


class LeaseTerm:
    """Time until which a holder may rely on its lease.

    It is counted from the time at which the last answered renewal was sent,
    not answered, on the holder's monotonic clock, less a margin.

    Parameters
    ----------
    ttl, margin : float
        Time to live of the lease and safety margin, seconds.
    sent : float
        Time at which the request for the lease was sent, monotonic seconds.
    wall : float, optional
        The same time in seconds since the epoch.

    Notes
    -----
    A monotonic clock may stop while the machine is suspended. When the time
    since the epoch is given too, the larger of the two elapsed times is
    used. Setting the system clock forward ends the lease early, which is
    safe; setting it back has no effect.
    """

    __slots__ = ("ttl", "margin", "renewed_at", "renewed_wall_time")

    def __init__(self, *, ttl, margin, sent, wall=None):
        self.ttl = ttl
        self.margin = margin
        self.renewed_at = sent
        self.renewed_wall_time = wall

    def renew(self, *, sent, wall=None):
        """Record an answered renewal.

        Parameters
        ----------
        sent : float
            Time at which the renewal was sent, monotonic seconds.
        wall : float, optional
            The same time in seconds since the epoch.
        """
        if sent < self.renewed_at:
            return
        self.renewed_at = sent
        self.renewed_wall_time = wall

    def count_seconds_left(self, *, now, wall=None):
        """Return the time for which the lease can still be relied on.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        wall : float, optional
            Seconds since the epoch.

        Returns
        -------
        float
            Seconds. At 0 or below, no new work may be started.
        """
        elapsed = now - self.renewed_at
        if wall is not None and self.renewed_wall_time is not None:
            elapsed = max(elapsed, wall - self.renewed_wall_time)
        return self.ttl - self.margin - elapsed

    def outlasts(self, seconds, *, now, wall=None):
        """Return whether the lease lasts until a call has timed out.

        Parameters
        ----------
        seconds : float
            Timeout of the call, seconds.
        now : float
            Monotonic seconds.
        wall : float, optional
            Seconds since the epoch.

        Returns
        -------
        bool
        """
        return self.count_seconds_left(now=now, wall=wall) > seconds
