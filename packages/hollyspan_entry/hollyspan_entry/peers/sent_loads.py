"""Loads on upstreams that were sent to peers."""

from hollyspan_core.messages import InFlight

__all__ = ["SentLoads"]

# Heartbeats that report the end of a load, since one may be lost.
ZERO_HEARTBEATS = 3


class SentLoads:
    """Loads sent to each peer, so that their end can be reported.

    Attributes
    ----------
    remaining : dict
        Number of heartbeats still to report the load, by peer and upstream.

    Notes
    -----
    Messages contain only nonzero loads; the end of a load is reported as
    zero in several heartbeats, since one may be lost.
    """

    __slots__ = ("remaining",)

    def __init__(self):
        self.remaining = {}

    def record(self, peer, upstream):
        """Record that a nonzero load was sent to a peer.

        Parameters
        ----------
        peer, upstream : str
        """
        self.remaining.setdefault(peer, {})[upstream] = ZERO_HEARTBEATS

    def add_zeros(self, peer, loads):
        """Add zero entries for recently ended loads to the current loads.

        Parameters
        ----------
        peer : str
        loads : list of InFlight
            Nonzero loads.

        Returns
        -------
        list of InFlight
        """
        for load in loads:
            self.record(peer, load.upstream)
        current = {load.upstream for load in loads}
        heartbeats_left = self.remaining.get(peer, {})
        ended = [name for name in heartbeats_left if name not in current]
        for name in ended:
            heartbeats_left[name] -= 1
            if not heartbeats_left[name]:
                del heartbeats_left[name]
        zeros = [InFlight(upstream=n, online=0, batch=0) for n in ended]
        return loads + zeros
