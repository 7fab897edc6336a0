"""Cancellation of jobs by callers."""

import time

from hollyspan_core.errors import BatchStateError

from ..state import change_record
from ..state import JobStatus
from ..state import publish_state

__all__ = ["cancel_job"]


async def cancel_job(store, workspace, job):
    """Request the cancellation of a job.

    Parameters
    ----------
    store : Store
    workspace, job : str

    Returns
    -------
    JobRecord
        Record with the status ``cancelling`` or ``cancelled``.

    Raises
    ------
    BatchNotFoundError
    BatchStateError
        The job has completed or failed.
    StoreUnavailableError
        The cancellation may have taken effect; it can be repeated.
    """

    def cancel(record):
        if record.status is not JobStatus.IN_PROGRESS:
            return False
        record.status = JobStatus.CANCELLING
        record.cancelling_at = int(time.time())
        return True

    record = await change_record(store, workspace, job, cancel)
    if record.status is JobStatus.CANCELLING:
        await publish_state(store, record)
    elif record.status is not JobStatus.CANCELLED:
        raise BatchStateError(f"the batch is {record.status.value}")
    return record
