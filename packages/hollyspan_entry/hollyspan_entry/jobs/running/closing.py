"""End of chunks and jobs."""

import time

import eliot

from ..results import read_ledger
from ..state import change_record
from ..state import JobStatus
from ..state import remove_from_queue
from .claim import list_claims

__all__ = ["close_chunk", "finish_cancelled_job"]


async def close_chunk(store, chunk):
    """Fix the results of a chunk in the record of its job.

    Parameters
    ----------
    store : Store
    chunk : HeldChunk
        Each item has a result in the store.

    Returns
    -------
    JobRecord or None
        The job's, when this was the last chunk.
    """
    closed = chunk.ledger.close()
    completed = False

    def change(record):
        nonlocal completed
        completed = False
        if record.status is not JobStatus.IN_PROGRESS:
            return False
        if chunk.chunk in record.closed:
            return False
        record.closed[chunk.chunk] = closed
        if record.is_complete:
            completed = True
            record.status = JobStatus.COMPLETED
            record.ended_at = int(time.time())
        return True

    record = chunk.record
    record = await change_record(store, record.workspace, record.job, change)
    if record.status.ended:
        await remove_from_queue(store, record.job)
        eliot.log_message(
            message_type="jobs:ended",
            job=record.job,
            status=record.status.value,
        )
    return record if completed else None


async def finish_cancelled_job(store, record):
    """Bring a cancelled job to its end when nobody holds a chunk of it.

    Parameters
    ----------
    store : Store
    record : JobRecord
        With the status ``cancelling``.

    Returns
    -------
    bool
        False while chunks are held.

    Notes
    -----
    The parts that are there now are the results that count; the record
    keeps their number, so that a part written later changes nothing.
    """
    if await list_claims(store, record.job):
        return False
    closed = {}
    for chunk in await list_chunks_with_results(store, record):
        ledger = await read_ledger(
            store, job=record.job, chunk=chunk, items=record.items[chunk]
        )
        closed[chunk] = ledger.close()

    def change(current):
        if current.status is not JobStatus.CANCELLING:
            return False
        current.closed = {**closed, **current.closed}
        current.status = JobStatus.CANCELLED
        current.ended_at = int(time.time())
        return True

    await change_record(store, record.workspace, record.job, change)
    await remove_from_queue(store, record.job)
    eliot.log_message(
        message_type="jobs:ended", job=record.job, status="cancelled"
    )
    return True


async def list_chunks_with_results(store, record):
    """List the chunks that are not closed and have results."""
    chunks = set()
    after = None
    while True:
        page = await store.list(
            f"results/{record.job}/", after=after, limit=500, keys_only=True
        )
        chunks.update(int(e.key.split("/")[2]) for e in page.entries)
        if not page.has_more:
            return sorted(chunks - set(record.closed))
        after = page.entries[-1].key
