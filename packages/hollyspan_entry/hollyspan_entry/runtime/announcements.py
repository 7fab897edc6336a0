"""Names that daemons gossip for a limited time."""

__all__ = ["Announcements"]

ANNOUNCEMENT_LIFETIME_S = 30.0


class Announcements:
    """Names to gossip, with the time at which each was first announced.

    Parameters
    ----------
    lifetime : float, optional
        Seconds for which a name is sent to other daemons.

    Attributes
    ----------
    announced_at : dict
        Time of the first announcement in monotonic seconds, by name.
    listeners : list of callable
        Called once with each new name.

    Notes
    -----
    Receiving a name again while it is kept does not extend its lifetime, so
    a name expires although the daemons repeat it to each other.
    """

    __slots__ = ("lifetime", "announced_at", "listeners")

    def __init__(self, *, lifetime=ANNOUNCEMENT_LIFETIME_S):
        self.lifetime = lifetime
        self.announced_at = {}
        self.listeners = []

    def announce(self, name, *, now):
        """Record a name and notify the listeners if it is new.

        Parameters
        ----------
        name : str
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            True if the name is new.
        """
        if name in self.announced_at:
            return False
        self.announced_at[name] = now
        for listener in self.listeners:
            listener(name)
        return True

    def list_names(self, *, now):
        """List the names to send to other daemons.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of str
        """
        return [
            name
            for name, announced_at in self.announced_at.items()
            if now - announced_at < self.lifetime
        ]

    def forget(self, *, before):
        """Drop the names first announced before a time.

        Parameters
        ----------
        before : float
            Monotonic seconds.
        """
        self.announced_at = {
            name: announced_at
            for name, announced_at in self.announced_at.items()
            if announced_at >= before
        }
