"""Rank of a gateway among the gateways that run items."""

from hollyspan_policy.hashing import hash_parts

__all__ = ["WorkerRanks"]


class WorkerRanks:
    """Ranks of this gateway at upstreams, for taking turns at free slots.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    workers : tuple of str
        Identifiers of the gateways that run items.
    """

    __slots__ = ("gateway", "workers", "ranks")

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.workers = ()
        self.ranks = {}

    def update_workers(self, workers):
        """Set the gateways that run items; discard ranks if they changed."""
        workers = tuple(sorted(workers))
        if workers != self.workers:
            self.workers = workers
            self.ranks = {}

    def find(self, upstream):
        """Return the rank of this gateway among the workers at an upstream.

        Parameters
        ----------
        upstream : Upstream

        Returns
        -------
        (int, int)
            Rank, from 0, and number of workers. Workers in the upstream's
            region come first.
        """
        name = upstream.entry.name
        if name not in self.ranks:
            self.ranks[name] = self.compute_rank(upstream)
        return self.ranks[name], len(self.workers)

    def compute_rank(self, upstream):
        peers = self.gateway.peers

        def build_sort_key(worker):
            is_other_region = peers.find_region(worker) != upstream.region
            return is_other_region, hash_parts(upstream.entry.name, worker)

        ranked = sorted(self.workers, key=build_sort_key)
        return ranked.index(self.gateway.peers.identifier)
