"""Decision whether to retry a failed attempt."""

from hollyspan_core.errors import Outcome

__all__ = ["decide_retry", "is_safe_to_retry"]


def is_safe_to_retry(failure):
    """Return whether another attempt is harmless.

    Parameters
    ----------
    failure : AttemptFailure

    Returns
    -------
    bool
        True when no part of an answer was delivered and the attempt is known
        not to have run or the request is idempotent.
    """
    if failure.delivered:
        return False
    return failure.outcome is Outcome.NOT_RUN or failure.idempotent


def decide_retry(failure, *, budget, retries, seconds_left, backoff=0.0):
    """Decide on a retry and withdraw it from the budget.

    Parameters
    ----------
    failure : AttemptFailure
    budget : RetryBudget
    retries : int
        Largest number of retries of one request.
    seconds_left : float
        Time left until the request's deadline.
    backoff : float, optional
        Seconds that the retry would have to wait.

    Returns
    -------
    bool
        True when the retry is allowed. It is then already withdrawn from the
        budget.
    """
    if not is_safe_to_retry(failure):
        return False
    if failure.attempts > retries:
        return False
    if backoff >= seconds_left:
        return False
    # Checked last, because a withdrawal cannot be undone.
    return budget.withdraw()
