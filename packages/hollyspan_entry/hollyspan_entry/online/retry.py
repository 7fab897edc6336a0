"""Whether a failed attempt may be followed by another."""

from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import StreamMalformedError
from hollyspan_core.errors import UpstreamAnswerError
from hollyspan_core.errors import UpstreamLeavingError
from hollyspan_core.errors import UpstreamUnavailableError
from hollyspan_policy.retries import AttemptFailure
from hollyspan_policy.retries import decide_retry
from hollyspan_policy.retries import is_safe_to_retry

__all__ = ["may_retry"]

RETRIED = (UpstreamUnavailableError, StreamLostError, StreamMalformedError)
FIRST_SERVER_ERROR = 500


def may_retry(
    error, *, idempotent, delivered, attempts_left, seconds_left, budget
):
    """Decide whether a request may be sent to another upstream.

    Parameters
    ----------
    error : HollyspanError
        How the last attempt failed.
    idempotent : bool
    delivered : bool
        True when the caller has got any part of the answer.
    attempts_left : int
        Further attempts that the configuration allows.
    seconds_left : float
        Until the request's deadline.
    budget : RetryBudget

    Returns
    -------
    bool

    Notes
    -----
    A leaving upstream refuses without work, and is then sent nothing more;
    its refusals take nothing from the budget, so that a planned departure
    fails no request.
    """
    if not is_retried(error):
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


def is_retried(error):
    if isinstance(error, UpstreamAnswerError):
        return (error.upstream_status or 0) >= FIRST_SERVER_ERROR
    return isinstance(error, RETRIED)
