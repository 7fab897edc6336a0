"""Names that are passed on between daemons for a while."""

__all__ = ["Announcements"]

LIFETIME_SECONDS = 30.0


class Announcements:
    """Names by the time at which they were first heard here.

    Parameters
    ----------
    lifetime : float, optional
        Seconds for which a name is passed on.

    Attributes
    ----------
    listeners : list of callable
        Called once with each new name.

    Notes
    -----
    A name heard again while it is kept starts no new lifetime, so a name
    dies out in a group of daemons that repeat it to each other.
    """

    __slots__ = ("lifetime", "times", "listeners")

    def __init__(self, *, lifetime=LIFETIME_SECONDS):
        self.lifetime = lifetime
        self.times = {}
        self.listeners = []

    def announce(self, name, *, now):
        """Take in a name.

        Parameters
        ----------
        name : str
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            True when the name is new.
        """
        if name in self.times:
            return False
        self.times[name] = now
        for listener in self.listeners:
            listener(name)
        return True

    def list_names(self, *, now):
        """List the names to pass on.

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
            for name, time in self.times.items()
            if now - time < self.lifetime
        ]

    def forget(self, *, before):
        """Drop the names heard before a time.

        Parameters
        ----------
        before : float
            Monotonic seconds.
        """
        self.times = {
            name: time for name, time in self.times.items() if time >= before
        }
