"""Reading and compare-and-swap updates of job records and queue entries."""

from hollyspan_core.errors import BatchNotFoundError
from hollyspan_core.errors import StoreConflictError

from .keys import build_job_key
from .keys import build_queue_key
from .queue import build_queue_entry
from .queue import encode_queue_entry
from .record import decode_record
from .record import encode_record

__all__ = [
    "change_record",
    "read_record",
    "remove_from_queue",
    "publish_state",
    "touch_queue",
]

MAX_ATTEMPTS = 50


async def read_record(store, workspace, job):
    """Read the record of a job.

    Parameters
    ----------
    store : Store
    workspace, job : str

    Returns
    -------
    JobRecord

    Raises
    ------
    BatchNotFoundError
    """
    entry = await store.get(build_job_key(workspace, job))
    if entry is None:
        raise BatchNotFoundError("no such batch")
    return decode_record(entry.content)


async def change_record(store, workspace, job, change):
    """Change the record of a job.

    Parameters
    ----------
    store : Store
    workspace, job : str
    change : callable
        Called with the JobRecord, which it modifies; returns False if
        nothing has to change. Called again after a conflict.

    Returns
    -------
    JobRecord
        The record after the change.

    Raises
    ------
    BatchNotFoundError
    StoreConflictError
        Every attempt conflicted with another writer.
    """
    key = build_job_key(workspace, job)
    entry = await store.get(key)
    for _ in range(MAX_ATTEMPTS):
        if entry is None:
            raise BatchNotFoundError("no such batch")
        record = decode_record(entry.content)
        if not change(record):
            return record
        try:
            await store.replace(
                key, encode_record(record), revision=entry.revision
            )
            return record
        except StoreConflictError as error:
            entry = error.entry
    raise StoreConflictError(f"{MAX_ATTEMPTS} conflicts over key {key}")


async def publish_state(store, record):
    """Publish the state of a job to all daemons by its queue entry.

    Parameters
    ----------
    store : Store
    record : JobRecord
        Record of a job that has not ended.
    """
    key = build_queue_key(record.job)
    content = encode_queue_entry(build_queue_entry(record))
    entry = await store.get(key)
    try:
        if entry is None:
            await store.create(key, content)
        else:
            await store.replace(key, content, revision=entry.revision)
    except StoreConflictError:
        # Another daemon wrote the entry, and the watches report that write.
        return


async def touch_queue(store, job):
    """Rewrite the queue entry of a job, so that the watches report it.

    Parameters
    ----------
    store : Store
    job : str
    """
    key = build_queue_key(job)
    entry = await store.get(key)
    if entry is None:
        return
    try:
        await store.replace(key, entry.content, revision=entry.revision)
    except StoreConflictError:
        return


async def remove_from_queue(store, job):
    """Remove a job that has ended from the queue.

    Parameters
    ----------
    store : Store
    job : str
    """
    key = build_queue_key(job)
    entry = await store.get(key)
    while entry is not None:
        try:
            await store.delete(key, revision=entry.revision)
            return
        except StoreConflictError as error:
            entry = error.entry
