"""Reading of request bodies."""

import json

from hollyspan_core.errors import BodyTooLargeError
from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import OverloadedError

__all__ = ["MAX_BODY_BYTES", "read_body", "read_json"]

MAX_BODY_BYTES = 8_000_000
RETRY_AFTER_S = 1.0


def read_body(request, *, limit=MAX_BODY_BYTES):
    """Return the body of a request.

    Parameters
    ----------
    request : twisted.web.http.Request
    limit : int, optional
        Maximum size in bytes.

    Returns
    -------
    bytes

    Raises
    ------
    BodyTooLargeError
        The body exceeds the limit.
    OverloadedError
        The daemon has no room for the body beside those of other callers.
    """
    if getattr(request.content, "is_refused", False):
        raise OverloadedError(
            "the daemon has no room for the body", retry_after=RETRY_AFTER_S
        )
    body = request.content.read(limit + 1)
    if len(body) > limit:
        raise BodyTooLargeError(f"the body exceeds {limit} bytes")
    return body


def read_json(request):
    """Return the JSON object in the body of a request.

    Parameters
    ----------
    request : twisted.web.http.Request

    Returns
    -------
    dict

    Raises
    ------
    InvalidRequestError
        The body is not a JSON object.
    """
    try:
        document = json.loads(read_body(request))
    except (ValueError, RecursionError) as error:
        raise InvalidRequestError(
            f"the body is not valid JSON: {error}"
        ) from error
    if not isinstance(document, dict):
        raise InvalidRequestError("the body is not a JSON object")
    return document
