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
    >>> verdict.accepted
    False
    """
    waits = [
        estimate_first_token(view, service_seconds=service_seconds)
        for view in views
        if view.serving
    ]
    if not waits:
        return Admission(
            accepted=False,
            expected=float("inf"),
            retry_after=NO_UPSTREAM_RETRY_AFTER_S,
        )
    expected = min(waits)
    if expected <= deadline_seconds:
        return Admission(accepted=True, expected=expected)
    excess = expected - deadline_seconds
    retry_after = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, excess))
    return Admission(
        accepted=False, expected=expected, retry_after=retry_after
    )
