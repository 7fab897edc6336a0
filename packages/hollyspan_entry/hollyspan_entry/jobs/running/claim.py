"""Creation, listing and deletion of chunk claims."""

import json

import eliot

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import StoreConflictError
from hollyspan_core.errors import StoreKeyExistsError

from ...files import read_chunk
from ..results import read_ledger
from ..state import build_claim_key
from ..state import JobStatus
from ..state import parse_chunk
from ..state import read_record
from .attempts import open_attempt_counts
from .chunk import HeldChunk
from .item import parse_items

__all__ = ["claim_chunk", "delete_claim", "list_claims"]


async def list_claims(store, job):
    """List the claims of a job.

    Parameters
    ----------
    store : Store
    job : str

    Returns
    -------
    dict
        Store entry without its value, by chunk index.
    """
    claims = {}
    after = None
    while True:
        page = await store.list(
            f"claims/{job}/", after=after, limit=500, keys_only=True
        )
        for entry in page.entries:
            claims[parse_chunk(entry.key)] = entry
        if not page.has_more:
            return claims
        after = page.entries[-1].key


async def claim_chunk(runtime, *, workspace, job, chunk, lease, now):
    """Claim a chunk and load its items and state.

    Parameters
    ----------
    runtime : Runtime
    workspace, job : str
    chunk : int
    lease : int
        Identifier of the lease that the claim is bound to.
    now : float
        Monotonic seconds.

    Returns
    -------
    HeldChunk or None
        None when another daemon holds the chunk or it needs no work.
    """
    store = runtime.store
    key = build_claim_key(job, chunk)
    holder = {
        "instance": runtime.settings.instance,
        "incarnation": runtime.incarnation,
    }
    try:
        entry = await store.create(
            key, json.dumps(holder).encode(), lease=lease
        )
    except StoreKeyExistsError as error:
        if error.entry.lease != lease:
            return None
        # The claim was created by this daemon, but the reply was lost.
        entry = error.entry
    held = None
    try:
        held = await read_held_chunk(
            store, workspace, job, chunk, entry.revision, now
        )
    finally:
        if held is None:
            await delete_claim(store, job, chunk, entry.revision)
    return held


async def read_held_chunk(store, workspace, job, chunk, revision, now):
    """Read the state of a chunk after its claim was written.

    The record must be read after the claim is written, so that a job whose
    cancellation finished before the claim is not run.
    """
    record = await read_record(store, workspace, job)
    if record.status is not JobStatus.IN_PROGRESS or chunk in record.closed:
        return None
    ledger = await read_ledger(
        store, job=job, chunk=chunk, items=record.items[chunk]
    )
    content = await read_chunk(store, record.data, chunk)
    attempt_counts = await open_attempt_counts(store, job, chunk)
    return HeldChunk(
        record=record,
        chunk=chunk,
        revision=revision,
        attempt_counts=attempt_counts,
        ledger=ledger,
        items=parse_items(content, first=sum(record.items[:chunk])),
        now=now,
    )


async def delete_claim(store, job, chunk, revision):
    """Delete a claim of this daemon; log a failure of the store.

    Parameters
    ----------
    store : Store
    job : str
    chunk : int
    revision : int
        Revision of the claim.
    """
    try:
        await store.delete(build_claim_key(job, chunk), revision=revision)
    except StoreConflictError:
        # The lease has expired and another daemon holds the chunk.
        return
    except HollyspanError as error:
        # The queue watcher deletes the claim when it next lists the claims.
        eliot.log_message(
            message_type="jobs:claim-left", job=job, reason=error.code
        )
