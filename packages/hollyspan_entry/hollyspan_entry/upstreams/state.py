"""What calls tell of the state of an upstream."""

import json

__all__ = ["is_leaving_answer", "note_state", "note_unreachable"]

STATE_HEADER = b"X-Upstream-State"
LEAVING = "leaving"


def note_state(runtime, upstream, response):
    """Take in the state that an upstream's answer carries.

    Parameters
    ----------
    runtime : Runtime
    upstream : Upstream
    response : IResponse
    """
    upstream.reachable = True
    values = response.headers.getRawHeaders(STATE_HEADER)
    if values and values[-1].strip().lower() == LEAVING.encode():
        runtime.upstreams.mark_leaving(upstream.name)


def note_unreachable(upstream):
    """Send nothing to an upstream until a health check succeeds.

    Parameters
    ----------
    upstream : Upstream
    """
    upstream.reachable = False


def is_leaving_answer(upstream, *, status, body):
    """Return whether an answer refuses new work of a leaving upstream.

    Parameters
    ----------
    upstream : Upstream
    status : int
    body : bytes

    Returns
    -------
    bool
    """
    if status != 503:
        return False
    return upstream.leaving or read_code(body) == LEAVING


def read_code(body):
    """Return the code of an error body, or None."""
    try:
        content = json.loads(body)
    except (ValueError, RecursionError):
        return None
    error = content.get("error") if isinstance(content, dict) else None
    return error.get("code") if isinstance(error, dict) else None
