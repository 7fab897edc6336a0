"""Writing of buffered results to the store."""

from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.errors import StoreValueTooLargeError

from ..state import build_part_key
from .item_record import decode_part
from .item_record import encode_part
from .results import build_oversized_failure

__all__ = ["RECORDS_PER_PART", "flush_chunk"]

RECORDS_PER_PART = 100


async def flush_chunk(store, chunk):
    """Write the buffered records of a chunk as parts.

    Parameters
    ----------
    store : Store
    chunk : HeldChunk

    Raises
    ------
    StoreUnavailableError
        Records whose write is not confirmed stay in the chunk.

    Notes
    -----
    Each part is only created if absent. A part that exists already was
    written by another holder: its results take precedence, and the remaining
    records go into the next part. Late results of a former holder therefore
    do no harm. A part whose write was not confirmed is written again with the
    same content.
    """
    await chunk.lock.acquire()
    try:
        while chunk.writing or chunk.buffer:
            if not chunk.writing:
                chunk.writing = chunk.buffer[:RECORDS_PER_PART]
                del chunk.buffer[:RECORDS_PER_PART]
            await write_part(store, chunk)
    finally:
        chunk.lock.release()


async def write_part(store, chunk):
    """Write one part, or merge the part that exists under its key."""
    key = build_part_key(chunk.record.job, chunk.chunk, chunk.ledger.parts)
    content = encode_part(chunk.writing)
    try:
        await store.create(key, content)
    except StoreKeyExistsError as error:
        if error.entry.content != content:
            merge_part(chunk, decode_part(error.entry.content))
            return
    except StoreValueTooLargeError:
        split_part(chunk)
        return
    chunk.ledger.apply(chunk.writing)
    chunk.writing = []


def merge_part(chunk, records):
    """Apply a part of another holder and drop superseded records."""
    chunk.contested = True
    chunk.ledger.apply(records)
    # Start marks are dropped, because their items are not run by this daemon.
    chunk.buffer = [
        record
        for record in chunk.writing + chunk.buffer
        if record.is_result and record.item not in chunk.ledger.done
    ]
    chunk.writing = []


def split_part(chunk):
    """Split a part that is too large; a single oversized result fails."""
    records = chunk.writing
    half = len(records) // 2
    if half:
        chunk.writing = records[:half]
        chunk.buffer = records[half:] + chunk.buffer
    else:
        chunk.writing = [build_oversized_failure(records[0])]
