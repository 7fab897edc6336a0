"""Decision whether a request can make its deadline."""

from .deadline import estimate_first_token
from .verdict import Admission

__all__ = ["decide_admission"]

LEAST_RETRY_SECONDS = 1.0
MOST_RETRY_SECONDS = 30.0
NO_UPSTREAM_RETRY_SECONDS = 2.0


def decide_admission(views, *, service_seconds, deadline_seconds):
    """Decide whether a request is taken in or refused at once.

    Parameters
    ----------
    views : iterable of UpstreamView
        The upstreams that could serve it.
    service_seconds : float
        Mean time that an online request holds a slot, seconds.
    deadline_seconds : float
        Time left until the first token is due.

    Returns
    -------
    Admission
        Refused when no upstream is expected to make the deadline. The time
        to come again is the one after which the queue would have shrunk
        enough without further arrivals.

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
            retry_after=NO_UPSTREAM_RETRY_SECONDS,
        )
    expected = min(waits)
    if expected <= deadline_seconds:
        return Admission(accepted=True, expected=expected)
    excess = expected - deadline_seconds
    retry_after = min(MOST_RETRY_SECONDS, max(LEAST_RETRY_SECONDS, excess))
    return Admission(
        accepted=False, expected=expected, retry_after=retry_after
    )
