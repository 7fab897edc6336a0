"""Ownership of upstreams by daemons."""

import time

from hollyspan_policy.ownership import choose_owner

__all__ = ["Owners"]


class Owners:
    """Owners of upstreams, cached while the set of live daemons is unchanged.

    Parameters
    ----------
    runtime : Runtime
    """

    __slots__ = ("runtime", "live", "owners")

    def __init__(self, *, runtime):
        self.runtime = runtime
        self.live = frozenset()
        self.owners = {}

    def refresh(self):
        """Update the set of live daemons; clear the cache if it changed."""
        members = self.runtime.members.list_live(
            now=time.monotonic(),
            data_centre=self.runtime.settings.data_centre,
        )
        live = frozenset(member.instance for member in members)
        if live != self.live:
            self.live = live
            self.owners = {}

    def find(self, upstream):
        """Return the owner of an upstream.

        Parameters
        ----------
        upstream : Upstream

        Returns
        -------
        str or None
            None for upstreams of other data centres.
        """
        if upstream.data_centre != self.runtime.settings.data_centre:
            return None
        if upstream.name not in self.owners:
            owner = choose_owner(upstream.name, self.live)
            self.owners[upstream.name] = owner
        return self.owners[upstream.name]
