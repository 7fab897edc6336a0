"""Prefix cache with least recently used eviction."""

from collections import OrderedDict

__all__ = ["PrefixCache"]


class PrefixCache:
    """Blocks in memory.

    Parameters
    ----------
    capacity : int
        Number of blocks.
    publish : callable
        Called with ``"stored"`` or ``"evicted"`` and the block's hash.
    """

    def __init__(self, *, capacity, publish):
        self.capacity = capacity
        self.publish = publish
        self.blocks = OrderedDict()

    def match(self, hashes):
        """Return how many leading blocks are in memory."""
        for count, block in enumerate(hashes):
            if block not in self.blocks:
                return count
            self.blocks.move_to_end(block)
        return len(hashes)

    def store(self, hashes):
        """Put blocks in memory, the oldest others out of it."""
        for block in hashes:
            if block not in self.blocks:
                self.publish("stored", block)
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity:
            block, _ = self.blocks.popitem(last=False)
            self.publish("evicted", block)
