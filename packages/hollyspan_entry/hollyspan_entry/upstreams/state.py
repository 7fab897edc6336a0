"""State of an upstream as seen from the answers to calls."""

import json

__all__ = [
    "is_leaving_answer",
    "update_state_from_response",
    "mark_unreachable",
]

STATE_HEADER = b"X-Upstream-State"
LEAVING = "leaving"


def update_state_from_response(runtime, upstream, response):
    """Update an upstream from the state header of its response.

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


def mark_unreachable(upstream):
    """Mark an upstream unreachable until a call to it succeeds.

    Parameters
    ----------
    upstream : Upstream
    """
    upstream.reachable = False


def is_leaving_answer(upstream, *, status, body):
    """Return whether an answer is a leaving upstream's rejection of work.

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
