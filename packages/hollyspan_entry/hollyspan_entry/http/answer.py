"""Writing of JSON answers and errors."""

import json
import math

__all__ = ["encode_error", "write_error", "write_json"]


def write_json(request, content, *, status=200):
    """Write a JSON answer.

    Parameters
    ----------
    request : twisted.web.http.Request
    content : object
        Object that can be encoded as JSON.
    status : int, optional
    """
    body = json.dumps(content).encode()
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)


def encode_error(error):
    """Return an error as an error object in OpenAI's format.

    Parameters
    ----------
    error : HollyspanError

    Returns
    -------
    dict
    """
    return {
        "error": {
            "message": error.message,
            "type": error.kind,
            "code": error.code,
            "param": error.param,
            "outcome": error.outcome.value,
        }
    }


def write_error(request, error):
    """Write an error as the answer.

    Parameters
    ----------
    request : twisted.web.http.Request
    error : HollyspanError
    """
    if error.retry_after is not None:
        seconds = str(max(1, math.ceil(error.retry_after)))
        request.setHeader(b"retry-after", seconds.encode())
    write_json(request, encode_error(error), status=error.status)
