"""Detection of pauses of the current process."""

__all__ = ["PauseGuard"]

SETTLE_TIME_S = 0.1


class PauseGuard:
    """Prevents a daemon from acting on a stale view after a pause.

    Parameters
    ----------
    limit : float
        Longest time between two ticks that does not count as a pause,
        seconds.
    grace : float
        Seconds after a pause until a daemon that receives no messages may
        act as an owner again.
    now : float
        Monotonic seconds.

    Attributes
    ----------
    resumed_at : float or None
        Monotonic seconds at which the last pause was detected; None once a
        peer's message sent after the pause has been received.

    Notes
    -----
    During a pause longer than the limit, ownership may have moved to other
    daemons. The daemon does not act as an owner until it has received a
    peer's message sent after the pause, or the grace time has passed
    without one. In the second case it is the only daemon, or partitioned
    from the others, and the owner of its partition.

    Examples
    --------
    >>> guard = PauseGuard(limit=1.0, grace=3.0, now=0.0)
    >>> guard.observe_tick(now=20.0)
    >>> guard.may_own(now=20.0)
    False
    >>> guard.observe_peer(now=20.2)
    >>> guard.may_own(now=20.2)
    True
    """

    __slots__ = ("limit", "grace", "last_tick_at", "resumed_at")

    def __init__(self, *, limit, grace, now):
        self.limit = limit
        self.grace = grace
        self.last_tick_at = now
        self.resumed_at = now

    def observe_tick(self, *, now):
        """Record that the process is running.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if now - self.last_tick_at > self.limit:
            self.resumed_at = now
        self.last_tick_at = max(self.last_tick_at, now)

    def observe_peer(self, *, now):
        """Record that a peer's message has been read.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Notes
        -----
        Messages buffered in the socket during a pause are stale, so
        messages read immediately after the pause do not count.
        """
        self.observe_tick(now=now)
        if (
            self.resumed_at is not None
            and now > self.resumed_at + SETTLE_TIME_S
        ):
            self.resumed_at = None

    def may_own(self, *, now):
        """Return whether the daemon may act as an owner.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        if now - self.last_tick_at > self.limit:
            return False
        return self.resumed_at is None or now - self.resumed_at > self.grace
