"""Upstreams that have announced their shutdown in an answer."""

__all__ = ["Departures"]

# Time for which a departure is part of heartbeats: several rounds of the
# longest heartbeat interval, so that lost datagrams do not matter.
ANNOUNCEMENT_S = 15.0
# Limits the size of a heartbeat; the newest departures are sent.
MAX_ANNOUNCED = 32
# Limits the memory; the oldest departures are forgotten.
MAX_REMEMBERED = 4096


class Departures:
    """Remembers which incarnations of upstreams are shutting down.

    Attributes
    ----------
    noted_at : dict
        Time at which the departure was noted, reactor seconds, by the key of
        the upstream's incarnation; the oldest first.

    Notes
    -----
    An upstream announces its shutdown in its answers, sometimes before its
    entry in the store changes, and the entry may expire and return in
    between. A departure is therefore kept apart from the entries. It ends
    with the incarnation: an upstream that has restarted has another key.
    """

    __slots__ = ("noted_at",)

    def __init__(self):
        self.noted_at = {}

    def __contains__(self, key):
        return key in self.noted_at

    def note(self, key, *, now):
        """Remember a departure.

        Parameters
        ----------
        key : int
            Key of the upstream's incarnation.
        now : float
            Reactor seconds.

        Returns
        -------
        bool
            False when it was known already.
        """
        if key in self.noted_at:
            return False
        self.noted_at[key] = now
        if len(self.noted_at) > MAX_REMEMBERED:
            del self.noted_at[next(iter(self.noted_at))]
        return True

    def list_announced(self, *, now):
        """Return the keys that heartbeats carry, the newest first."""
        announced = []
        for key in reversed(self.noted_at):
            if (
                now - self.noted_at[key] > ANNOUNCEMENT_S
                or len(announced) == MAX_ANNOUNCED
            ):
                break
            announced.append(key)
        return announced
