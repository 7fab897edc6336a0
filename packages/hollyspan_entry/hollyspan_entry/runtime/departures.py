"""Upstreams announced as leaving."""

from .announcements import Announcements

__all__ = ["Departures"]

BLOCK_DURATION_S = 120.0


class Departures:
    """Prevents a stale instance list from restoring a leaving upstream.

    Parameters
    ----------
    block_seconds : float, optional
        Seconds for which a leaving upstream stays blocked although it is
        listed. Longer than the lifetime of the announcements, so that peers
        no longer repeat the announcement when the block ends.

    Attributes
    ----------
    announcements : Announcements
        Names to send to other daemons.
    endpoints : dict
        URL of the leaving upstream, by name.
    """

    __slots__ = ("block_seconds", "announcements", "endpoints")

    def __init__(self, *, block_seconds=BLOCK_DURATION_S):
        self.block_seconds = block_seconds
        self.announcements = Announcements()
        self.endpoints = {}

    def announce(self, name, *, now, endpoint=None):
        """Record that an upstream is leaving.

        Parameters
        ----------
        name : str
        now : float
            Monotonic seconds.
        endpoint : str, optional
            URL of the upstream, if known.

        Returns
        -------
        bool
            True if the announcement is new.
        """
        if endpoint is not None:
            known = self.endpoints.setdefault(name, endpoint)
            if known != endpoint:
                # A different upstream with the same name.
                self.endpoints[name] = endpoint
                self.announcements.announced_at.pop(name, None)
        return self.announcements.announce(name, now=now)

    def blocks(self, name, *, endpoint, now):
        """Return whether an upstream must not be registered again.

        Parameters
        ----------
        name : str
        endpoint : str
            URL of the upstream in the list; a new one means a new upstream.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        announced_at = self.announcements.announced_at.get(name)
        if announced_at is None or now - announced_at >= self.block_seconds:
            return False
        return self.endpoints.get(name, endpoint) == endpoint

    def drop_expired(self, *, now):
        """Drop the upstreams that are no longer blocked.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self.announcements.forget(before=now - self.block_seconds)
        remaining = self.announcements.announced_at
        self.endpoints = {
            name: endpoint
            for name, endpoint in self.endpoints.items()
            if name in remaining
        }
