"""Closing of chunks and completion of jobs."""

import time

import eliot

from ..results import read_ledger
from ..state import change_record
from ..state import JobStatus
from ..state import remove_from_queue
from .claim import list_claims

__all__ = ["close_chunk", "finish_cancelled_job"]


async def close_chunk(store, chunk):
    """Close a chunk: store its final counts in the record of its job.

    Parameters
    ----------
    store : Store
    chunk : HeldChunk
        A chunk of which each item has a result in the store.

    Returns
    -------
    JobRecord or None
        Record of the job if this was its last chunk, else None.
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
    """Finish a cancelled job once no chunk of it is claimed.

    Parameters
    ----------
    store : Store
    record : JobRecord
        Record with the status ``cancelling``.

    Returns
    -------
    bool
        False while chunks are still claimed.

    Notes
    -----
    The parts present now are the final results. The record stores their
    number, so that a part written later has no effect.
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
    """List the chunks that have results but are not closed."""
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
