"""One request or item in flight at an upstream."""

import math

__all__ = ["Exposure"]

# Time from the first bytes of an answer from which on its upstream has
# survived the request: several times longer than it takes to begin an answer.
SURVIVAL_S = 0.5


class Exposure:
    """An upstream's exposure to a request.

    Parameters
    ----------
    upstream : Upstream
    request : str
        Identifier of the request or the item.
    keys : tuple of int
    fingerprint : int
        The one of the keys that belongs to this request alone; 0 without.

    Attributes
    ----------
    abort : callable or None
        Called with a HollyspanError to break off the attempt.
    opened_at : float
        Time at which the connection of the attempt was opened, reactor
        seconds.
    is_in_silence : bool
        True if the upstream seemed to stand still when the request was sent,
        or when it was broken off.
    first_data_at : float
        Arrival of the first bytes of the answer, reactor seconds.
    has_survived : bool
        True once the upstream has survived it.
    is_upstream_alive : bool
        True once the upstream has accepted a connection after it broke off
        the answer.
    version : int or None
        Key of the software version at which it goes on; None if it begins.
    can_move : callable
        Returns whether it can go on at another upstream, also over another
        gateway.
    """

    __slots__ = (
        "upstream",
        "request",
        "keys",
        "fingerprint",
        "abort",
        "opened_at",
        "is_in_silence",
        "first_data_at",
        "has_survived",
        "is_upstream_alive",
        "can_move",
        "version",
    )

    def __init__(self, *, upstream, request, keys, fingerprint):
        self.upstream = upstream
        self.request = request
        self.keys = keys
        self.fingerprint = fingerprint
        self.abort = None
        self.opened_at = -math.inf
        self.is_in_silence = False
        self.first_data_at = math.inf
        self.has_survived = False
        self.is_upstream_alive = False
        self.can_move = lambda: False
        self.version = None

    def note_start(self, abort, *, opened_at):
        """Note the start of the attempt.

        Parameters
        ----------
        abort : callable
            Called with a HollyspanError to break it off.
        opened_at : float
            Time at which its connection was opened.
        """
        self.abort = abort
        self.opened_at = opened_at

    def note_data(self, *, now):
        """Note the arrival of bytes of the answer.

        Returns
        -------
        bool
            True when they show for the first time that the upstream has
            survived the request.
        """
        if self.has_survived:
            return False
        self.first_data_at = min(self.first_data_at, now)
        self.has_survived = now - self.first_data_at >= SURVIVAL_S
        return self.has_survived

    @property
    def may_be_unread(self):
        """True if the upstream may have ended before it read the request."""
        return self.is_in_silence and not self.has_data()

    def has_data(self):
        """Return whether bytes of the answer have arrived."""
        return self.first_data_at < math.inf
