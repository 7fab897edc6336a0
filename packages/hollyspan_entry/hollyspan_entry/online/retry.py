"""Whether a failed attempt may be followed by another."""

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import StreamMalformedError
from hollyspan_core.errors import UpstreamAnswerError
from hollyspan_core.errors import UpstreamLeavingError
from hollyspan_core.errors import UpstreamUnavailableError

__all__ = ["may_retry"]

RETRIED = (UpstreamUnavailableError, StreamLostError, StreamMalformedError)
FIRST_SERVER_ERROR = 500


def may_retry(error, *, idempotent, delivered, attempts_left, budget):
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
    if delivered or not is_retried(error):
        return False
    if not idempotent and error.outcome is not Outcome.NOT_RUN:
        return False
    if isinstance(error, UpstreamLeavingError):
        return True
    return attempts_left > 0 and budget.withdraw()


def is_retried(error):
    if isinstance(error, UpstreamAnswerError):
        return (error.upstream_status or 0) >= FIRST_SERVER_ERROR
    return isinstance(error, RETRIED)
