"""Decision whether a failed attempt is made again."""

from hollyspan_core.errors import Outcome

__all__ = ["decide_retry", "is_safe_to_retry"]


def is_safe_to_retry(failure):
    """Return whether another attempt can do no harm.

    Parameters
    ----------
    failure : AttemptFailure

    Returns
    -------
    bool
        True when the attempt is known not to have run, or when the request
        is idempotent and nothing of an answer was delivered.
    """
    if failure.delivered:
        return False
    return failure.outcome is Outcome.NOT_RUN or failure.idempotent


def decide_retry(failure, *, budget, retries, seconds_left, backoff=0.0):
    """Decide on a retry and take it from the budget.

    Parameters
    ----------
    failure : AttemptFailure
    budget : RetryBudget
    retries : int
        Most retries of one request.
    seconds_left : float
        Until the request's deadline.
    backoff : float, optional
        Seconds that the retry would wait first.

    Returns
    -------
    bool
    """
    if not is_safe_to_retry(failure):
        return False
    if failure.attempts > retries:
        return False
    if backoff >= seconds_left:
        return False
    # Last, for a withdrawal cannot be taken back.
    return budget.withdraw()
