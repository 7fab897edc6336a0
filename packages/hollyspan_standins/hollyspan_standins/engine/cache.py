"""Prefix cache with least recently used eviction."""

from collections import OrderedDict

__all__ = ["PrefixCache"]


class PrefixCache:
    """Cache of prompt blocks, identified by their hashes.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks.
    publish : callable
        Called with ``"stored"`` or ``"evicted"`` and the block's hash.
    """

    def __init__(self, *, capacity, publish):
        self.capacity = capacity
        self.publish = publish
        self.blocks = OrderedDict()

    def match(self, hashes):
        """Return the number of leading blocks that are cached."""
        for count, block in enumerate(hashes):
            if block not in self.blocks:
                return count
            self.blocks.move_to_end(block)
        return len(hashes)

    def store(self, hashes):
        """Cache blocks and evict the least recently used ones."""
        for block in hashes:
            if block not in self.blocks:
                self.publish("stored", block)
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity:
            block, _ = self.blocks.popitem(last=False)
            self.publish("evicted", block)
