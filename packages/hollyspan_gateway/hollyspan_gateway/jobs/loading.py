"""Reading of jobs' records from the store."""

from hollyspan_core.errors import RecordUnreadableError

from .records import build_job_key
from .records import decode_job
from .records import list_part_keys

__all__ = ["load_job", "read_record"]


async def load_job(store, identifier):
    """Read a job from the store.

    Parameters
    ----------
    store : Store
    identifier : str

    Returns
    -------
    Job or None
        None when there is no such job.

    Raises
    ------
    RecordUnreadableError
    StoreUnavailableError
    """
    entry = await store.get(build_job_key(identifier))
    if entry is None:
        return None
    return await read_record(store, identifier, entry.content)


async def read_record(store, identifier, first):
    """Read the remaining parts of a record and decode it.

    Parameters
    ----------
    store : Store
    identifier : str
    first : bytes
        Content of the job's key: the number of parts and the first part.

    Returns
    -------
    Job

    Raises
    ------
    RecordUnreadableError
    StoreUnavailableError
    """
    if not first:
        raise RecordUnreadableError(f"the record of job {identifier} is empty")
    parts = [memoryview(first)[1:]]
    for key in list_part_keys(identifier, first[0]):
        part = await store.get(key)
        if part is None:
            raise RecordUnreadableError(
                f"a part of the record of job {identifier} is missing"
            )
        parts.append(part.content)
    content = b"".join(parts)
    del parts
    return decode_job(identifier, content)
