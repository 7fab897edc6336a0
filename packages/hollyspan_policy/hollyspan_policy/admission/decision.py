"""Admission decision by the deadline of a request."""

from .deadline import estimate_first_token
from .verdict import Admission

__all__ = ["decide_admission"]

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0
NO_UPSTREAM_RETRY_AFTER_S = 2.0


def decide_admission(views, *, service_seconds, deadline_seconds):
    """Decide whether to admit a request or refuse it at once.

    Parameters
    ----------
    views : iterable of UpstreamView
        Upstreams that could serve the request.
    service_seconds : float
        Mean time for which an online request holds a slot, seconds.
    deadline_seconds : float
        Time left until the first token is due.

    Returns
    -------
    Admission
        The request is refused when no upstream is expected to meet the
        deadline. `retry_after` is then the time after which the queue would
        have shrunk enough if no further requests arrived.

    Examples
    --------
    >>> verdict = decide_admission(
    ...     [], service_seconds=1.0, deadline_seconds=5.0
    ... )
    >>> verdict.admitted
    False
    """
    waits = [
        estimate_first_token(view, service_seconds=service_seconds)
        for view in views
        if view.serving
    ]
    if not waits:
        return Admission(
            admitted=False,
            expected_wait=float("inf"),
            retry_after=NO_UPSTREAM_RETRY_AFTER_S,
        )
    expected_wait = min(waits)
    if expected_wait <= deadline_seconds:
        return Admission(admitted=True, expected_wait=expected_wait)
    excess = expected_wait - deadline_seconds
    retry_after = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, excess))
    return Admission(
        admitted=False, expected_wait=expected_wait, retry_after=retry_after
    )
