"""State of the items of a chunk, derived from its result parts."""

from ..state import build_part_key
from ..state import ClosedChunk
from .item_record import decode_part
from .item_record import encode_line
from .item_record import RecordKind

__all__ = ["ChunkLedger", "read_ledger"]

# Parts can be large, so only a few are read at once.
PARTS_PER_READ = 8


class ChunkLedger:
    """State of the items of a chunk after its parts are applied in order.

    Parameters
    ----------
    items : int
        Number of items in the chunk.

    Attributes
    ----------
    parts : int
        Number of applied parts, which is the number of the next part.
    done : set of int
        Indices of the items with a result.
    started : set of int
        Indices of the items that are marked as started and have no result.
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
        """Apply the records of the next part.

        Parameters
        ----------
        records : list of ItemRecord

        Returns
        -------
        list of ItemRecord
            The valid results: the first one of each item.
        """
        self.parts += 1
        return [record for record in records if self.apply_record(record)]

    def apply_record(self, record):
        """Apply a record; return True if it is the result of its item."""
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
        """Return the counts for the record of the job.

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
    """Build the ledger of a chunk from all its parts.

    Parameters
    ----------
    store : Store
    job : str
    chunk : int
    items : int
        Number of items in the chunk.

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
