"""HTTP resource of batches."""

import re
import time

from hollyspan_core.errors import BatchNotFoundError
from hollyspan_core.errors import InvalidRequestError

from ...http import build_list
from ...http import build_operations
from ...http import read_json
from ...http import read_paging
from ..state import build_job_key
from ..state import decode_record
from ..state import read_record
from .batch import build_batch_object
from .cancellation import cancel_job
from .creation import create_job
from .spec import parse_spec

__all__ = ["build_handler"]

JOB_PATTERN = re.compile(r"batch_[0-9a-f]{32}")


def build_handler(runtime):
    """Build the handler of ``/v1/batches`` and the paths below it.

    Parameters
    ----------
    runtime : Runtime

    Returns
    -------
    callable
        Handler of an AsyncResource.
    """

    return build_operations(runtime, find_operation=find_operation)


def find_operation(method, path):
    if path and not JOB_PATTERN.fullmatch(path[0]):
        raise BatchNotFoundError("no such batch")
    shape = (method.decode(), len(path), path[1:])
    if shape == ("POST", 0, []):
        return answer_creation
    if shape == ("GET", 0, []):
        return answer_list
    if shape == ("GET", 1, []):
        return answer_job
    if shape == ("POST", 2, ["cancel"]):
        return answer_cancel
    raise InvalidRequestError("no such operation on batches")


async def answer_creation(runtime, request, workspace, path):
    record = await create_job(
        runtime.store,
        workspace,
        parse_spec(read_json(request)),
        key=request.getHeader("idempotency-key") or None,
        is_idempotent=lambda models: are_idempotent(runtime, models),
    )
    return build_batch_object(record)


def are_idempotent(runtime, models):
    """Return True if requests to all models may run twice.

    An empty list means all configured models.
    """
    services = runtime.configurations.current.services
    return all(
        services.get(model, {}).get("idempotent", True)
        for model in models or services
    )


async def answer_list(runtime, request, workspace, path):
    paging = read_paging(request.args)
    page = await runtime.store.list(
        build_job_key(workspace, ""),
        after=paging.after and build_job_key(workspace, paging.after),
        limit=paging.limit,
    )
    batches = [
        build_batch_object(decode_record(entry.content))
        for entry in page.entries
    ]
    return build_list(batches, has_more=page.has_more)


async def answer_job(runtime, request, workspace, path):
    record = await read_record(runtime.store, workspace, path[0])
    return build_batch_object(record)


async def answer_cancel(runtime, request, workspace, path):
    record = await cancel_job(runtime.store, workspace, path[0])
    runtime.cancelled_jobs.announce(record.job, now=time.monotonic())
    return build_batch_object(record)
