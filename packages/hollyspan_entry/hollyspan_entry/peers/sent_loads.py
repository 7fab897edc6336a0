"""Loads that were told to the owners of upstreams."""

from hollyspan_core.messages import InFlight

__all__ = ["ToldLoads"]

ZERO_BEATS = 3


class ToldLoads:
    """Tells an owner of a load that is over, some beats long.

    Notes
    -----
    Messages name only loads above zero; the end of a load is told in
    several heartbeats, since one may be lost.
    """

    __slots__ = ("beats",)

    def __init__(self):
        self.beats = {}

    def note(self, owner, upstream):
        """Note that an owner was told of a load above zero.

        Parameters
        ----------
        owner, upstream : str
        """
        self.beats.setdefault(owner, {})[upstream] = ZERO_BEATS

    def complete(self, owner, loads):
        """Add to the loads above zero those that are over.

        Parameters
        ----------
        owner : str
        loads : list of InFlight
            Above zero.

        Returns
        -------
        list of InFlight
        """
        for load in loads:
            self.note(owner, load.upstream)
        current = {load.upstream for load in loads}
        left = self.beats.get(owner, {})
        over = [name for name in left if name not in current]
        for name in over:
            left[name] -= 1
            if not left[name]:
                del left[name]
        zeros = [InFlight(upstream=n, online=0, batch=0) for n in over]
        return loads + zeros
