"""Rank of a gateway among the gateways that run items."""

from hollyspan_policy.hashing import hash_parts

__all__ = ["OwnerRanks"]


class OwnerRanks:
    """Ranks of this gateway at upstreams, for taking turns at free slots.

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

    def update_owners(self, owners):
        """Set the gateways that run items; discard ranks if they changed."""
        owners = tuple(sorted(owners))
        if owners != self.owners:
            self.owners = owners
            self.ranks = {}

    def find(self, upstream):
        """Return the rank of this gateway among the owners at an upstream.

        Parameters
        ----------
        upstream : Upstream

        Returns
        -------
        (int, int)
            Rank, from 0, and number of owners. Owners in the upstream's
            region come first.
        """
        name = upstream.entry.name
        if name not in self.ranks:
            self.ranks[name] = self.compute_rank(upstream)
        return self.ranks[name], len(self.owners)

    def compute_rank(self, upstream):
        peers = self.gateway.peers

        def build_sort_key(owner):
            is_other_region = peers.find_region(owner) != upstream.region
            return is_other_region, hash_parts(upstream.entry.name, owner)

        ranked = sorted(self.owners, key=build_sort_key)
        return ranked.index(self.gateway.peers.identifier)
