"""Places of a gateway among those that run items."""

from hollyspan_policy.hashing import hash_parts

__all__ = ["OwnerRanks"]


class OwnerRanks:
    """Ranks of this gateway at upstreams, for the turns at their free slots.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    owners : tuple of str
        Identifiers of the gateways that run items.
    """

    __slots__ = ("gateway", "owners", "ranks")

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.owners = ()
        self.ranks = {}

    def take_owners(self, owners):
        """Take note of the gateways that run items now."""
        owners = tuple(sorted(owners))
        if owners != self.owners:
            self.owners = owners
            self.ranks = {}

    def find(self, upstream):
        """Return the place of this gateway among the owners at an upstream.

        Parameters
        ----------
        upstream : Upstream

        Returns
        -------
        (int, int)
            Place, from 0, and number of owners. Those of the upstream's
            region come first.
        """
        name = upstream.entry.name
        if name not in self.ranks:
            self.ranks[name] = self.compute(upstream)
        return self.ranks[name], len(self.owners)

    def compute(self, upstream):
        peers = self.gateway.peers

        def order(owner):
            is_elsewhere = peers.find_region(owner) != upstream.region
            return is_elsewhere, hash_parts(upstream.entry.name, owner)

        ranked = sorted(self.owners, key=order)
        return ranked.index(self.gateway.peers.identifier)
