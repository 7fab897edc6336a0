"""Maintenance of held chunks: preparation, flushing, closing, release."""

import eliot
from twisted.internet import defer
from twisted.internet import task

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import StoreConflictError
from hollyspan_core.errors import StoreUnavailableError

from ...burn import record_job_deadline
from ..results import flush_chunk
from ..results import RECORDS_PER_PART
from .claim import delete_claim
from .closing import close_chunk
from .preparation import MIN_READY_ITEMS
from .preparation import prepare_items
from .run import StopReason

__all__ = ["maintain_chunk", "release_chunk"]

STORE_RETRY_DELAY_S = 1.0
# A chunk without a running item for this long is released to other daemons.
IDLE_TIMEOUT_S = 10.0
# Results are kept for this long while the store is unavailable.
MAX_FLUSH_RETRY_S = 600.0


def maintain_chunk(runner, chunk, *, now):
    """Start the next store operation that a chunk needs, if any.

    Parameters
    ----------
    runner : JobRunner
    chunk : HeldChunk
    now : float
        Monotonic seconds.
    """
    if chunk.stopped or chunk.closing or now < chunk.retry_at:
        return
    if chunk.contested or is_idle(chunk, now=now):
        runner.spawn(release_chunk(runner, chunk))
    elif is_flush_due(runner, chunk, now=now):
        chunk.flushed_at = now
        runner.spawn(write_results(runner, chunk, now=now))
    elif chunk.ledger.is_complete:
        runner.spawn(write_results(runner, chunk, now=now))
    elif needs_preparing(chunk):
        chunk.preparing = True
        runner.spawn(prepare(runner, chunk, now=now))


def is_idle(chunk, *, now):
    if chunk.running or chunk.preparing:
        chunk.last_active_at = now
    return (
        chunk.count_remaining() > 0
        and now - chunk.last_active_at > IDLE_TIMEOUT_S
    )


def is_flush_due(runner, chunk, *, now):
    """Return True if the buffered records should be written now."""
    if not chunk.buffer and not chunk.writing:
        chunk.flushed_at = now
        return False
    return (
        len(chunk.buffer) >= RECORDS_PER_PART
        or chunk.count_remaining() == 0
        or now - chunk.flushed_at >= runner.runtime.settings.timing.part_flush
    )


def needs_preparing(chunk):
    if chunk.preparing or chunk.count_ready() >= MIN_READY_ITEMS:
        return False
    if chunk.waiting:
        return True
    alone = not chunk.running and not chunk.count_ready()
    return bool(chunk.suspects) and alone


async def write_results(runner, chunk, *, now):
    """Write the buffered results; close the chunk if it is complete."""
    try:
        await flush_chunk(runner.store, chunk)
        if not chunk.ledger.is_complete or chunk.stopped or chunk.closing:
            return
        chunk.closing = True
        ended = await close_chunk(runner.store, chunk)
    except StoreUnavailableError:
        chunk.closing = False
        chunk.retry_at = now + STORE_RETRY_DELAY_S
        return
    if ended is not None:
        record_deadline(runner.runtime, ended)
    runner.counters.closed += 1
    eliot.log_message(
        message_type="jobs:chunk-closed",
        job=chunk.record.job,
        chunk=chunk.chunk,
    )
    try:
        await chunk.attempt_counts.remove()
    finally:
        await drop_chunk(runner, chunk)


def record_deadline(runtime, record):
    """Record whether a job was completed by its deadline."""
    for model in record.models:
        record_job_deadline(
            runtime, service=model, met=record.ended_at <= record.due
        )


async def prepare(runner, chunk, *, now):
    """Prepare the next items of a chunk."""
    try:
        await prepare_items(runner.store, chunk)
    except StoreUnavailableError:
        chunk.retry_at = now + STORE_RETRY_DELAY_S
    except StoreConflictError:
        chunk.contested = True
    finally:
        chunk.preparing = False
    runner.schedule_dispatch()


async def release_chunk(runner, chunk):
    """Stop the items of a chunk, store its results and release it.

    Parameters
    ----------
    runner : JobRunner
    chunk : HeldChunk

    Notes
    -----
    Results are written even if the lease has expired: a part is only created
    if absent, so results of another holder take precedence.
    """
    chunk.stop()
    for run in list(chunk.running):
        run.cancel(StopReason.STOPPED)
    deferreds = [run.deferred for run in chunk.running]
    await defer.DeferredList(deferreds, consumeErrors=True)
    chunk.withdraw_start_marks()
    try:
        await flush_with_retries(runner, chunk)
        await chunk.attempt_counts.release(chunk.list_attempts())
    except HollyspanError as error:
        eliot.log_message(message_type="jobs:notes-left", reason=error.code)
    finally:
        runner.counters.released += 1
        await drop_chunk(runner, chunk)


async def flush_with_retries(runner, chunk):
    """Write the results, retrying while the store is unavailable."""
    for _ in range(int(MAX_FLUSH_RETRY_S / STORE_RETRY_DELAY_S)):
        try:
            await flush_chunk(runner.store, chunk)
            return
        except StoreUnavailableError:
            await task.deferLater(runner.runtime.reactor, STORE_RETRY_DELAY_S)


async def drop_chunk(runner, chunk):
    """Remove a chunk from the runner and delete its claim."""
    chunk.stop()
    if runner.chunks.get(chunk.name) is chunk:
        del runner.chunks[chunk.name]
    await delete_claim(
        runner.store, chunk.record.job, chunk.chunk, chunk.revision
    )
    runner.schedule_dispatch()
