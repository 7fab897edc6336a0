"""The callers' interface to batches."""

import re
import time

from hollyspan_core.errors import BatchNotFoundError
from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import StoreUnavailableError

from ..files import read_limit
from ..http import identify_caller
from ..http import read_json
from ..http import write_json
from .batch import build_batch_object
from .cancellation import cancel_job
from .change import read_record
from .creation import create_job
from .keys import build_job_key
from .order import parse_order
from .record import decode_record

__all__ = ["build_handler"]

RETRY_SECONDS = 5.0
JOB_PATTERN = re.compile(r"batch_[0-9a-f]{32}")


def build_handler(runtime):
    """Build the handler of ``/v1/batches`` and what is below.

    Parameters
    ----------
    runtime : Runtime

    Returns
    -------
    callable
        Handler of an AsyncResource.
    """

    async def handle(request, path):
        path = [part for part in path if part]
        workspace = identify_caller(request, runtime=runtime)
        operation = find_operation(request.method, path)
        try:
            answer = await operation(runtime, request, workspace, path)
        except StoreUnavailableError as error:
            error.retry_after = error.retry_after or RETRY_SECONDS
            raise
        write_json(request, answer)

    return handle


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
        parse_order(read_json(request)),
        key=request.getHeader("idempotency-key") or None,
        is_idempotent=lambda models: are_idempotent(runtime, models),
    )
    return build_batch_object(record)


def are_idempotent(runtime, models):
    """Tell whether all models may run a request twice.

    An empty list stands for any model.
    """
    services = runtime.configurations.current.services
    return all(
        services.get(model, {}).get("idempotent", True)
        for model in models or services
    )


async def answer_list(runtime, request, workspace, path):
    limit, after = read_limit(request.args)
    page = await runtime.store.list(
        build_job_key(workspace, ""),
        after=after and build_job_key(workspace, after),
        limit=limit,
    )
    batches = [
        build_batch_object(decode_record(entry.content))
        for entry in page.entries
    ]
    return {
        "object": "list",
        "data": batches,
        "has_more": page.more,
        "first_id": batches[0]["id"] if batches else None,
        "last_id": batches[-1]["id"] if batches else None,
    }


async def answer_job(runtime, request, workspace, path):
    record = await read_record(runtime.store, workspace, path[0])
    return build_batch_object(record)


async def answer_cancel(runtime, request, workspace, path):
    record = await cancel_job(runtime.store, workspace, path[0])
    runtime.cancelled_jobs.announce(record.job, now=time.monotonic())
    return build_batch_object(record)
