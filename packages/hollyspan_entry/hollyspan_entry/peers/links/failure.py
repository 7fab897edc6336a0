"""Encoding of failures on links between daemons."""

import json

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import PeerAnswerError

from ...http.answer import encode_error

__all__ = ["decode_failure", "encode_failure"]

DEFAULT_STATUS = 502


def encode_failure(error):
    """Encode a failure as JSON.

    Parameters
    ----------
    error : Exception

    Returns
    -------
    bytes
    """
    if not isinstance(error, HollyspanError):
        error = HollyspanError("internal error")
    content = encode_error(error)["error"]
    content["status"] = error.status
    content["retry_after"] = error.retry_after
    return json.dumps(content).encode()


def decode_failure(content):
    """Decode a failure from JSON.

    Parameters
    ----------
    content : bytes

    Returns
    -------
    PeerAnswerError
    """
    try:
        document = json.loads(content)
    except (ValueError, RecursionError):
        document = {}
    if not isinstance(document, dict):
        document = {}
    status = document.get("status")
    if not isinstance(status, int):
        status = DEFAULT_STATUS
    return PeerAnswerError(content=document, status=status)
