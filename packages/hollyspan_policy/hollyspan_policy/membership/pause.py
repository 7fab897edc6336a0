"""Detection of a pause of the own process."""

__all__ = ["PauseGuard"]

SETTLE_SECONDS = 0.1


class PauseGuard:
    """Keeps a daemon that was paused from acting on its old view.

    Parameters
    ----------
    limit : float
        Longest time between two ticks that counts as running, seconds.
    grace : float
        Seconds after a pause after which a daemon that hears nobody goes
        on as the only one.
    now : float
        Monotonic seconds.

    Attributes
    ----------
    woken : float or None
        When the last pause was noticed; None once the present state was
        heard.

    Notes
    -----
    A pause longer than the limit may have cost the daemon its duties. It
    does not act as an owner until a peer's message sent after the pause
    has come, or the grace time has passed without one: the daemon is then
    alone, or cut off, and the owner of its part.

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

    __slots__ = ("limit", "grace", "ticked", "woken")

    def __init__(self, *, limit, grace, now):
        self.limit = limit
        self.grace = grace
        self.ticked = now
        self.woken = now

    def observe_tick(self, *, now):
        """Note that the process runs.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if now - self.ticked > self.limit:
            self.woken = now
        self.ticked = max(self.ticked, now)

    def observe_peer(self, *, now):
        """Note a peer's message that was sent lately.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Notes
        -----
        Messages that waited in the socket during a pause are old, so none
        counts that is read right after the pause.
        """
        self.observe_tick(now=now)
        if self.woken is not None and now > self.woken + SETTLE_SECONDS:
            self.woken = None

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
        if now - self.ticked > self.limit:
            return False
        return self.woken is None or now - self.woken > self.grace
