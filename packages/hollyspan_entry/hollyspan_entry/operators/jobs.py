"""Operations on the jobs of all workspaces in the operators' API."""

import time

from hollyspan_core.errors import BatchNotFoundError
from hollyspan_core.errors import InvalidRequestError

from ..http import write_json
from ..jobs import build_batch_object
from ..jobs import cancel_job
from ..jobs import decode_record
from ..jobs import read_record
from .query import read_argument
from .query import read_number

__all__ = ["build_jobs_handler", "find_workspace"]

JOBS_PREFIX = "jobs/"
JOBS_PER_PAGE = 500
DEFAULT_LISTED_JOBS = 100
MAX_LISTED_JOBS = 500


def build_jobs_handler(runtime):
    """Build the handler of ``jobs`` and the paths below it.

    Parameters
    ----------
    runtime : Runtime

    Returns
    -------
    callable
        Coroutine function that takes the request and the remaining path.
    """
    store = runtime.store

    async def handle(request, path):
        shape = request.method, len(path), path[1:]
        if shape == (b"GET", 0, []):
            await show_list(request)
        elif shape == (b"GET", 1, []):
            await show_job(request, path[0])
        elif shape == (b"POST", 2, ["cancel"]):
            await cancel(request, path[0])
        else:
            raise InvalidRequestError("no such operation on jobs")

    async def show_list(request):
        workspace = read_argument(request, "workspace")
        limit = read_number(
            request,
            "limit",
            default=DEFAULT_LISTED_JOBS,
            maximum=MAX_LISTED_JOBS,
        )
        prefix = f"{JOBS_PREFIX}{workspace}/" if workspace else JOBS_PREFIX
        page = await store.list(
            prefix, after=read_argument(request, "after"), limit=limit
        )
        jobs = [
            describe_job(decode_record(entry.content))
            for entry in page.entries
        ]
        after = page.entries[-1].key if page.has_more else None
        write_json(request, {"jobs": jobs, "after": after})

    async def show_job(request, job):
        workspace = await find_workspace(store, job)
        record = await read_record(store, workspace, job)
        write_json(request, describe_job(record))

    async def cancel(request, job):
        workspace = await find_workspace(store, job)
        record = await cancel_job(store, workspace, job)
        runtime.cancelled_jobs.announce(job, now=time.monotonic())
        write_json(request, describe_job(record))

    return handle


def describe_job(record):
    return {"workspace": record.workspace, **build_batch_object(record)}


async def find_workspace(store, job):
    """Find the workspace of a job.

    Parameters
    ----------
    store : Store
    job : str

    Returns
    -------
    str

    Raises
    ------
    BatchNotFoundError
        No workspace has a job with this identifier.
    """
    after = None
    while True:
        page = await store.list(
            JOBS_PREFIX, after=after, limit=JOBS_PER_PAGE, keys_only=True
        )
        for entry in page.entries:
            _, workspace, name = entry.key.split("/", 2)
            if name == job:
                return workspace
        if not page.has_more:
            raise BatchNotFoundError("no such job")
        after = page.entries[-1].key
