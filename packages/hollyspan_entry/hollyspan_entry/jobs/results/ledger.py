"""State of a chunk's items as the parts of its results tell it."""

from ..state import build_part_key
from ..state import ClosedChunk
from .item_record import decode_part
from .item_record import encode_line
from .item_record import RecordKind

__all__ = ["ChunkLedger", "read_ledger"]

# Parts can be large; few are read at once.
PARTS_PER_READ = 8


class ChunkLedger:
    """Which items have results, from the parts in their order.

    Parameters
    ----------
    items : int
        Items in the chunk.

    Attributes
    ----------
    parts : int
        Parts taken in; the number of the next one.
    done : set of int
        Items with a result.
    started : set of int
        Items marked as started that have no result.
    """

    __slots__ = (
        "items",
        "parts",
        "done",
        "started",
        "completed",
        "failed",
        "output_bytes",
        "error_bytes",
    )

    def __init__(self, *, items):
        self.items = items
        self.parts = 0
        self.done = set()
        self.started = set()
        self.completed = 0
        self.failed = 0
        self.output_bytes = 0
        self.error_bytes = 0

    @property
    def is_complete(self):
        """True when each item has a result."""
        return len(self.done) == self.items

    def apply(self, records):
        """Take in the next part.

        Parameters
        ----------
        records : list of ItemRecord

        Returns
        -------
        list of ItemRecord
            The results that count: the first one of each item.
        """
        self.parts += 1
        return [record for record in records if self.apply_record(record)]

    def apply_record(self, record):
        """Take in one record; tell whether it is its item's result."""
        if record.item in self.done:
            return False
        if record.kind is RecordKind.STARTED:
            self.started.add(record.item)
            return False
        self.started.discard(record.item)
        if record.kind is RecordKind.WITHDRAWN:
            return False
        self.done.add(record.item)
        size = len(encode_line(record.line))
        if record.kind is RecordKind.COMPLETED:
            self.completed += 1
            self.output_bytes += size
        else:
            self.failed += 1
            self.error_bytes += size
        return True

    def close(self):
        """Return the counts for the job's record.

        Returns
        -------
        ClosedChunk
        """
        return ClosedChunk(
            parts=self.parts,
            completed=self.completed,
            failed=self.failed,
            output_bytes=self.output_bytes,
            error_bytes=self.error_bytes,
        )


async def read_ledger(store, *, job, chunk, items):
    """Read all parts of a chunk.

    Parameters
    ----------
    store : Store
    job : str
    chunk : int
    items : int
        Items in the chunk.

    Returns
    -------
    ChunkLedger
    """
    ledger = ChunkLedger(items=items)
    prefix = build_part_key(job, chunk, 0)[: -len("000000")]
    after = None
    while True:
        page = await store.list(prefix, after=after, limit=PARTS_PER_READ)
        for entry in page.entries:
            ledger.apply(decode_part(entry.content))
        if not page.has_more:
            return ledger
        after = page.entries[-1].key
