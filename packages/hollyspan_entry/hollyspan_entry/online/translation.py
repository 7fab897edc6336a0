"""Errors of engines in the shape that callers get."""

import json

from ..http import encode_error
from ..once import Answer

__all__ = ["build_error_answer", "translate_error"]

FIRST_ERROR = 400
FIRST_SERVER_ERROR = 500


def translate_error(error):
    """Give an engine's refusal of the request to the caller as it is.

    Parameters
    ----------
    error : UpstreamAnswerError

    Returns
    -------
    UpstreamAnswerError
        The same error; for an answer of 400 to 499 with the status, message
        and code that the engine gave.
    """
    status = error.upstream_status or 0
    if FIRST_ERROR <= status < FIRST_SERVER_ERROR:
        details = read_error(error.body)
        error.status = status
        error.kind = details.get("type") or "invalid_request_error"
        error.code = details.get("code") or error.code
        error.message = details.get("message") or error.message
        error.param = details.get("param")
    return error


def read_error(body):
    try:
        details = json.loads(body)["error"]
    except (KeyError, RecursionError, TypeError, ValueError):
        return {}
    if not isinstance(details, dict):
        return {}
    return {
        name: value
        for name, value in details.items()
        if isinstance(value, str)
    }


def build_error_answer(error):
    """Return an engine's error as an answer that can be kept.

    Parameters
    ----------
    error : UpstreamAnswerError

    Returns
    -------
    Answer
    """
    translate_error(error)
    return Answer(
        status=error.status,
        content_type="application/json",
        body=json.dumps(encode_error(error)).encode(),
    )
