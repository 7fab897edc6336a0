"""Records that must be in the store before items run."""

from hollyspan_core.errors import ItemAttemptsError
from hollyspan_core.errors import ModelNotFoundError
from hollyspan_core.errors import OutcomeUnknownError

from ..results import build_failure
from ..results import flush_chunk

__all__ = ["MIN_READY_ITEMS", "admit_items", "prepare_items"]

# If a holder fails, each item that it marked but did not run fails with an
# unknown outcome, so few items are marked at a time.
ITEMS_PER_GROUP = 8
MIN_READY_ITEMS = 4


def admit_items(chunk, *, attempts_limit, services):
    """Queue the items of a newly claimed chunk, or fail those not runnable.

    Parameters
    ----------
    chunk : HeldChunk
    attempts_limit : int
    services : dict
        Services of the configuration by name.

    Notes
    -----
    An item marked as started by an earlier holder never runs again. An item
    whose recorded attempts reach the limit fails.
    """
    for item in chunk.items:
        if item.index in chunk.ledger.done:
            continue
        item.attempts = chunk.attempt_counts.counts.get(item.index, 0)
        error = find_rejection(
            chunk, item, attempts_limit=attempts_limit, services=services
        )
        if error is None:
            chunk.add(item)
        else:
            chunk.buffer_record(build_failure(chunk.record.job, item, error))


def find_rejection(chunk, item, *, attempts_limit, services):
    """Return the error for which an item cannot run, or None."""
    if item.index in chunk.ledger.started:
        return OutcomeUnknownError("an earlier holder was lost")
    if item.attempts >= attempts_limit:
        return ItemAttemptsError(
            f"{item.attempts} attempts ended with their holders"
        )
    if services.get(str(item.model), {}).get("kind") != "model":
        return ModelNotFoundError("no such model", param="model")
    return None


def pop_group(chunk):
    """Remove and return the items to prepare: a group, or one suspect."""
    if chunk.waiting:
        count = min(ITEMS_PER_GROUP, len(chunk.waiting))
        return [chunk.waiting.popleft() for _ in range(count)]
    if chunk.suspects and not chunk.running and not chunk.count_ready():
        return [chunk.suspects.popleft()]
    return []


async def prepare_items(store, chunk):
    """Record the next items in the store and make them ready to run.

    Parameters
    ----------
    store : Store
    chunk : HeldChunk

    Raises
    ------
    StoreConflictError
        Another daemon has claimed the chunk.
    StoreUnavailableError
        The items were not recorded and must not run.
    """
    group = pop_group(chunk)
    if not group:
        return
    try:
        if chunk.record.idempotent:
            await record_next_attempts(chunk, group)
        else:
            await mark_items(store, chunk, group)
    except BaseException:
        chunk.waiting.extendleft(reversed(group))
        raise
    if chunk.contested or chunk.stopped:
        return
    for item in group:
        chunk.ready[item.model].append(item)


async def record_next_attempts(chunk, group):
    """Record the next attempt of each item in the store."""
    await chunk.attempt_counts.record_attempts(
        {item.index: item.attempts + 1 for item in group}
    )


async def mark_items(store, chunk, group):
    """Mark items as started in the store before any of them runs."""
    for item in group:
        chunk.mark_started(item)
    await flush_chunk(store, chunk)
