"""Items with their bodies, bounded in bytes."""

import collections

__all__ = ["BodyCache"]

# Objects of an item and its headers, beside their texts.
ITEM_OVERHEAD_BYTES = 1_000


class BodyCache:
    """Keeps items, and drops the least recently used beyond a limit.

    Parameters
    ----------
    limit : int
        Bytes.

    Attributes
    ----------
    items : collections.OrderedDict
        Item by (identifier of its job, its own), the least recently used
        first.
    held_bytes : int
        Size of all of them.
    dropped : int
        Number of items dropped for the limit.

    Notes
    -----
    The item added last stays, also where it exceeds the limit by itself.
    """

    __slots__ = ("limit", "items", "held_bytes", "dropped")

    def __init__(self, *, limit):
        self.limit = limit
        self.items = collections.OrderedDict()
        self.held_bytes = 0
        self.dropped = 0

    def add(self, job, item):
        """Add an item of a job, given by the job's identifier."""
        self.discard(job, item.identifier)
        self.items[job, item.identifier] = item
        self.held_bytes += measure_item(item)
        while self.held_bytes > self.limit and len(self.items) > 1:
            _, oldest = self.items.popitem(last=False)
            self.held_bytes -= measure_item(oldest)
            self.dropped += 1

    def find(self, job, identifier):
        """Return an item, which counts as used, or None."""
        item = self.items.get((job, identifier))
        if item is not None:
            self.items.move_to_end((job, identifier))
        return item

    def discard(self, job, identifier):
        """Drop an item that is needed no longer."""
        item = self.items.pop((job, identifier), None)
        if item is not None:
            self.held_bytes -= measure_item(item)


def measure_item(item):
    """Return the bytes that an item takes."""
    return (
        ITEM_OVERHEAD_BYTES
        + len(item.body)
        + sum(len(name) + len(value) for name, value in item.headers)
    )
