"""Prompt prefixes held in the caches of upstreams."""

import collections

import xxhash

__all__ = ["AffinityTable", "hash_blocks"]

BLOCK_CHARACTERS = 64
MAX_BLOCKS = 64
MAX_TABLE_ENTRIES = 65536


def hash_blocks(prompt):
    """Hash the complete blocks of a prompt, each chained to the previous one.

    Parameters
    ----------
    prompt : str

    Returns
    -------
    list of int
        One hash for each complete block, at most MAX_BLOCKS.
    """
    blocks = []
    previous = 0
    count = min(len(prompt) // BLOCK_CHARACTERS, MAX_BLOCKS)
    for index in range(count):
        start = index * BLOCK_CHARACTERS
        text = prompt[start : start + BLOCK_CHARACTERS]
        content = previous.to_bytes(8, "big") + text.encode()
        previous = xxhash.xxh3_64_intdigest(content)
        blocks.append(previous)
    return blocks


class AffinityTable:
    """Table of the upstreams that cache each block, with LRU eviction.

    Parameters
    ----------
    entries : int, optional
        Largest number of blocks in the table, over all upstreams.
    """

    __slots__ = ("entries", "holders")

    def __init__(self, *, entries=MAX_TABLE_ENTRIES):
        self.entries = entries
        self.holders = collections.OrderedDict()

    def add(self, upstream, blocks):
        """Record that an upstream holds blocks."""
        for block in blocks:
            holders = self.holders.setdefault(block, set())
            holders.add(upstream)
            self.holders.move_to_end(block)
        while len(self.holders) > self.entries:
            self.holders.popitem(last=False)

    def remove(self, upstream, blocks):
        """Record that an upstream no longer holds blocks."""
        for block in blocks:
            holders = self.holders.get(block)
            if holders is not None:
                holders.discard(upstream)

    def count_blocks(self, upstream, blocks):
        """Count the leading blocks of a prompt that an upstream holds.

        Parameters
        ----------
        upstream : str
        blocks : list of int
            Hashes of the prompt's blocks, in order.

        Returns
        -------
        int
        """
        count = 0
        for block in blocks:
            if upstream not in self.holders.get(block, ()):
                break
            count += 1
        return count
