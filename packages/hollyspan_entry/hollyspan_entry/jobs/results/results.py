"""Results of items in the format of OpenAI's output lines."""

import json

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StoreValueTooLargeError

from ...streams import assemble_answer
from .item_record import ItemRecord
from .item_record import RecordKind

__all__ = ["build_failure", "build_oversized_failure", "build_success"]

MAX_ERROR_BODY_BYTES = 100_000


def build_success(job, item):
    """Return the result record of an item whose stream is complete.

    Parameters
    ----------
    job : str
    item : Item

    Returns
    -------
    ItemRecord

    Raises
    ------
    StreamMalformedError
        The events do not form a complete answer.
    """
    answer = assemble_answer(item.events, path=item.url)
    response = {
        "status_code": 200,
        "request_id": item.stream_id,
        "body": answer,
    }
    return ItemRecord(
        item=item.index,
        kind=RecordKind.COMPLETED,
        line=build_output_line(job, item, response=response, error=None),
    )


def build_failure(job, item, error):
    """Return the result record of an item that failed and is not retried.

    Parameters
    ----------
    job : str
    item : Item
    error : HollyspanError

    Returns
    -------
    ItemRecord
    """
    details = {
        "code": error.code,
        "message": error.message,
        "outcome": error.outcome.value,
    }
    return ItemRecord(
        item=item.index,
        kind=RecordKind.FAILED,
        line=build_output_line(
            job, item, response=build_response(item, error), error=details
        ),
    )


def build_response(item, error):
    """Return the error response of the upstream, or None if there is none."""
    status = getattr(error, "upstream_status", None)
    if not status:
        return None
    try:
        body = json.loads(error.body[:MAX_ERROR_BODY_BYTES])
    except (ValueError, RecursionError):
        body = None
    return {
        "status_code": status,
        "request_id": item.stream_id,
        "body": body,
    }


def build_output_line(job, item, *, response, error):
    return {
        "id": f"batch_req_{job.removeprefix('batch_')}_{item.number}",
        "custom_id": item.custom_id,
        "response": response,
        "error": error,
    }


def build_oversized_failure(record):
    """Return the failure that replaces a result too large to store.

    Parameters
    ----------
    record : ItemRecord

    Returns
    -------
    ItemRecord
    """
    error = {
        "code": StoreValueTooLargeError.code,
        "message": "the answer is too large to be kept",
        "outcome": Outcome.UNKNOWN.value,
    }
    return ItemRecord(
        item=record.item,
        kind=RecordKind.FAILED,
        line={**record.line, "response": None, "error": error},
    )
