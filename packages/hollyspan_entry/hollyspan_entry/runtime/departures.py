"""Upstreams that were announced as leaving."""

from .announcements import Announcements

__all__ = ["Departures"]

HOLD_SECONDS = 120.0


class Departures:
    """Keeps a lagging instance list from bringing an upstream back.

    Parameters
    ----------
    hold : float, optional
        Seconds for which the list is not believed. Longer than the
        lifetime of the announcements, so that none is echoed after it.

    Attributes
    ----------
    announcements : Announcements
        Names to pass on to other daemons.
    """

    __slots__ = ("hold", "announcements", "endpoints")

    def __init__(self, *, hold=HOLD_SECONDS):
        self.hold = hold
        self.announcements = Announcements()
        self.endpoints = {}

    def announce(self, name, *, now, endpoint=None):
        """Take in that an upstream is leaving.

        Parameters
        ----------
        name : str
        now : float
            Monotonic seconds.
        endpoint : str, optional
            Its URL, when it is known.

        Returns
        -------
        bool
            True when it is news.
        """
        if endpoint is not None:
            known = self.endpoints.setdefault(name, endpoint)
            if known != endpoint:
                # Another upstream of that name.
                self.endpoints[name] = endpoint
                self.announcements.times.pop(name, None)
        return self.announcements.announce(name, now=now)

    def holds(self, name, *, endpoint, now):
        """Return whether an upstream must not be taken in again.

        Parameters
        ----------
        name : str
        endpoint : str
            Its URL in the list; a new one means a new upstream.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        time = self.announcements.times.get(name)
        if time is None or now - time >= self.hold:
            return False
        return self.endpoints.get(name, endpoint) == endpoint

    def forget_old(self, *, now):
        """Drop what is no longer held.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self.announcements.forget(before=now - self.hold)
        kept = self.announcements.times
        self.endpoints = {
            name: endpoint
            for name, endpoint in self.endpoints.items()
            if name in kept
        }
