"""Validity of a lease from its holder's point of view."""

__all__ = ["LeaseTerm"]


class LeaseTerm:
    """Time until which a holder may rely on its lease.

    It is counted from the time at which the last answered renewal was sent
    rather than answered, on the holder's monotonic clock, less a margin.

    Parameters
    ----------
    ttl, margin : float
        Time to live of the lease and safety margin, seconds.
    sent_at : float
        Time at which the request for the lease was sent, monotonic seconds.
    wall_time : float, optional
        The same time in seconds since the epoch.

    Notes
    -----
    A monotonic clock may stop while the machine is suspended. When the time
    since the epoch is given too, the larger of the two elapsed times is
    used. Setting the system clock forward ends the lease early, which is
    safe; setting it back has no effect.
    """

    __slots__ = ("ttl", "margin", "renewed_at", "renewed_wall_time")

    def __init__(self, *, ttl, margin, sent_at, wall_time=None):
        self.ttl = ttl
        self.margin = margin
        self.renewed_at = sent_at
        self.renewed_wall_time = wall_time

    def renew(self, *, sent_at, wall_time=None):
        """Record an answered renewal.

        Parameters
        ----------
        sent_at : float
            Time at which the renewal was sent, monotonic seconds.
        wall_time : float, optional
            The same time in seconds since the epoch.
        """
        if sent_at < self.renewed_at:
            return
        self.renewed_at = sent_at
        self.renewed_wall_time = wall_time

    def count_seconds_left(self, *, now, wall_time=None):
        """Return the time for which the lease can still be relied on.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        wall_time : float, optional
            Seconds since the epoch.

        Returns
        -------
        float
            Seconds. At 0 or below, no new work may be started.
        """
        elapsed = now - self.renewed_at
        if wall_time is not None and self.renewed_wall_time is not None:
            elapsed = max(elapsed, wall_time - self.renewed_wall_time)
        return self.ttl - self.margin - elapsed

    def outlasts(self, seconds, *, now, wall_time=None):
        """Return whether the lease lasts until a call has timed out.

        Parameters
        ----------
        seconds : float
            Timeout of the call, seconds.
        now : float
            Monotonic seconds.
        wall_time : float, optional
            Seconds since the epoch.

        Returns
        -------
        bool
        """
        return self.count_seconds_left(now=now, wall_time=wall_time) > seconds
