"""Writing of results into the store."""

from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.errors import StoreValueTooLargeError

from ..state import build_part_key
from .item_record import decode_part
from .item_record import encode_part
from .results import build_oversized

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
        What is not known to be written stays with the chunk.

    Notes
    -----
    Each part is created if absent. A part that is there already was written
    by another holder: its results count, and what is left goes into the next
    part. So results that a former holder still has do no harm. A part whose
    write has no certain answer is written again with the same content.
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
    """Write one part, or take in the one that is there."""
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
    """Take in a part of another holder."""
    chunk.contested = True
    chunk.ledger.apply(records)
    # Marks that lost the race are dropped; their items do not run here.
    chunk.buffer = [
        record
        for record in chunk.writing + chunk.buffer
        if record.is_result and record.item not in chunk.ledger.done
    ]
    chunk.writing = []


def split_part(chunk):
    """Write less at once; an answer that is too large alone has failed."""
    records = chunk.writing
    half = len(records) // 2
    if half:
        chunk.writing = records[:half]
        chunk.buffer = records[half:] + chunk.buffer
    else:
        chunk.writing = [build_oversized(records[0])]
