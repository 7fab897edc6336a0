"""Decision whether a failed attempt may be retried."""

from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import StreamMalformedError
from hollyspan_core.errors import UpstreamAnswerError
from hollyspan_core.errors import UpstreamLeavingError
from hollyspan_core.errors import UpstreamUnavailableError
from hollyspan_policy.retries import AttemptFailure
from hollyspan_policy.retries import decide_retry
from hollyspan_policy.retries import is_safe_to_retry

__all__ = ["may_retry"]

RETRYABLE_ERRORS = (
    UpstreamUnavailableError,
    StreamLostError,
    StreamMalformedError,
)
MIN_SERVER_ERROR_STATUS = 500


def may_retry(
    error, *, idempotent, delivered, attempts_left, seconds_left, budget
):
    """Decide whether a request may be sent to another upstream.

    Parameters
    ----------
    error : HollyspanError
        Error of the last attempt.
    idempotent : bool
    delivered : bool
        True when any part of the answer was sent to the caller.
    attempts_left : int
        Number of further attempts that the configuration allows.
    seconds_left : float
        Seconds until the request's deadline.
    budget : RetryBudget

    Returns
    -------
    bool

    Notes
    -----
    A leaving upstream rejects requests without running them and is sent no
    further requests. Its rejections do not draw on the retry budget, so a
    planned departure causes no failed request.
    """
    if not is_retryable(error):
        return False
    failure = AttemptFailure(
        outcome=error.outcome,
        idempotent=idempotent,
        delivered=delivered,
        attempts=1,
    )
    if isinstance(error, UpstreamLeavingError):
        return is_safe_to_retry(failure)
    return decide_retry(
        failure,
        budget=budget,
        retries=attempts_left,
        seconds_left=seconds_left,
    )


def is_retryable(error):
    """Return whether this kind of error allows a retry."""
    if isinstance(error, UpstreamAnswerError):
        return (error.upstream_status or 0) >= MIN_SERVER_ERROR_STATUS
    return isinstance(error, RETRYABLE_ERRORS)
