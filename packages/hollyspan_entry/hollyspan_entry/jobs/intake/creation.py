"""Creation of jobs."""

import time

from hollyspan_core.errors import FileNotFoundInWorkspaceError
from hollyspan_core.errors import IdempotencyMismatchError
from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.errors import StoreUnavailableError

from ...files import read_manifest
from ..state import build_job_key
from ..state import build_queue_entry
from ..state import build_queue_key
from ..state import change_record
from ..state import decode_record
from ..state import derive_job_id
from ..state import encode_queue_entry
from ..state import encode_record
from ..state import JobRecord
from ..state import JobStatus
from ..state import remove_from_queue
from .spec import compute_due

__all__ = ["create_job"]


async def create_job(store, workspace, spec, *, key, is_idempotent):
    """Create a job, or return the one created by an earlier copy.

    Parameters
    ----------
    store : Store
    workspace : str
    spec : JobSpec
    key : str or None
        The caller's Idempotency-Key, None if the request has none.
    is_idempotent : callable
        Called with a list of models; returns whether their items may run
        twice.

    Returns
    -------
    JobRecord
        Returned only once the store holds all that is needed to run the job.

    Raises
    ------
    FileNotFoundInWorkspaceError
    InvalidRequestError
        The items' URL differs from the endpoint.
    IdempotencyMismatchError
    StoreUnavailableError
        Its outcome is ``not_run`` if no copy of the request can have been
        accepted.
    """
    try:
        manifest = await read_manifest(store, workspace, spec.file)
    except StoreUnavailableError as error:
        # Without the store it is unknown whether an earlier copy was accepted.
        error.outcome = Outcome.UNKNOWN if key else Outcome.NOT_RUN
        raise
    if manifest.urls != [spec.endpoint]:
        raise InvalidRequestError(
            "items of the file have another url than the endpoint",
            param="endpoint",
        )
    record = build_record(workspace, spec, manifest, key=key)
    record.idempotent = spec.idempotent and is_idempotent(manifest.models)
    try:
        return await store_job(store, record)
    except StoreUnavailableError as error:
        if key:
            error.outcome = Outcome.UNKNOWN
        raise


def build_record(workspace, spec, manifest, *, key):
    now = time.time()
    return JobRecord(
        job=derive_job_id(workspace, key=key, spec=spec),
        workspace=workspace,
        file=spec.file,
        data=manifest.data,
        endpoint=spec.endpoint,
        completion_window=spec.completion_window,
        metadata=spec.metadata,
        due=compute_due(spec, now=now),
        idempotent=True,
        items=manifest.items,
        models=manifest.models,
        created_at=int(now),
    )


async def store_job(store, record):
    """Store the record of a job, then its queue entry."""
    key = build_job_key(record.workspace, record.job)
    try:
        await store.create(key, encode_record(record))
    except StoreKeyExistsError as error:
        existing = decode_record(error.entry.content)
        check_same_request(existing, record)
        if existing.status.ended:
            return existing
        return await ensure_queued(store, existing)
    await queue_job(store, record)
    return record


async def ensure_queued(store, record):
    """Queue a job whose first creation may have been interrupted."""
    try:
        await queue_job(store, record)
    except StoreUnavailableError as error:
        error.outcome = Outcome.UNKNOWN
        raise
    return record


async def queue_job(store, record):
    content = encode_queue_entry(build_queue_entry(record))
    try:
        await store.create(build_queue_key(record.job), content)
    except StoreKeyExistsError:
        return
    await fail_if_file_deleted(store, record)


async def fail_if_file_deleted(store, record):
    """Fail a job whose input file was deleted during its creation."""
    try:
        await read_manifest(store, record.workspace, record.file)
    except FileNotFoundInWorkspaceError:
        await change_record(
            store, record.workspace, record.job, fail_without_file
        )
        await remove_from_queue(store, record.job)
        raise


def fail_without_file(record):
    if record.status.ended:
        return False
    record.status = JobStatus.FAILED
    record.ended_at = int(time.time())
    return True


def check_same_request(existing, record):
    fields = ("file", "endpoint", "completion_window", "metadata")
    if any(getattr(existing, f) != getattr(record, f) for f in fields):
        raise IdempotencyMismatchError(
            "the Idempotency-Key was used for another batch"
        )
