"""What the store must know before items run."""

from hollyspan_core.errors import ItemAttemptsError
from hollyspan_core.errors import ModelNotFoundError
from hollyspan_core.errors import OutcomeUnknownError

from ..results import build_failure
from ..results import flush_chunk

__all__ = ["MIN_READY_ITEMS", "admit_items", "prepare_items"]

# Marks of items that did not run are results lost when their holder is.
ITEMS_PER_GROUP = 8
MIN_READY_ITEMS = 4


def admit_items(chunk, *, attempts_limit, services):
    """Sort the items of a chunk that was just claimed.

    Parameters
    ----------
    chunk : HeldChunk
    attempts_limit : int
    services : dict
        Services of the configuration by name.

    Notes
    -----
    An item marked as started by an earlier holder never runs again; one
    whose noted attempts reach the limit fails.
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
    """Return why an item cannot run, or None."""
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
    """Take the items to prepare next: a group, or one suspect."""
    if chunk.waiting:
        count = min(ITEMS_PER_GROUP, len(chunk.waiting))
        return [chunk.waiting.popleft() for _ in range(count)]
    if chunk.suspects and not chunk.running and not chunk.count_ready():
        return [chunk.suspects.popleft()]
    return []


async def prepare_items(store, chunk):
    """Note or mark the next items, so that they may run.

    Parameters
    ----------
    store : Store
    chunk : HeldChunk

    Raises
    ------
    StoreConflictError
        Another daemon holds the chunk.
    StoreUnavailableError
        Nothing may run.
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
    """Note the next attempt of each item."""
    await chunk.attempt_counts.record_attempts(
        {item.index: item.attempts + 1 for item in group}
    )


async def mark_items(store, chunk, group):
    """Mark items as started, before any of them runs."""
    for item in group:
        chunk.mark_started(item)
    await flush_chunk(store, chunk)
