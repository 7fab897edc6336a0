"""Translation of engine errors to errors for callers."""

import json

from ..http import encode_error
from ..once import Answer

__all__ = ["build_error_answer", "translate_error"]

MIN_ERROR_STATUS = 400
MIN_SERVER_ERROR_STATUS = 500


def translate_error(error):
    """Copy the details of an engine's client error to an error.

    Parameters
    ----------
    error : UpstreamAnswerError

    Returns
    -------
    UpstreamAnswerError
        The same error object. For an answer with status 400 to 499 it has
        the status, message and code of the engine's answer.
    """
    status = error.upstream_status or 0
    if MIN_ERROR_STATUS <= status < MIN_SERVER_ERROR_STATUS:
        details = read_error(error.body)
        error.status = status
        error.kind = details.get("type") or "invalid_request_error"
        error.code = details.get("code") or error.code
        error.message = details.get("message") or error.message
        error.param = details.get("param")
    return error


def read_error(body):
    """Return the text fields of an error body; empty if malformed."""
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
    """Return an engine's error as an answer that can be stored.

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
