"""Failed attempt as input to retry decisions."""

__all__ = ["AttemptFailure"]


class AttemptFailure:
    """Outcome of one failed attempt.

    Parameters
    ----------
    outcome : Outcome
        Whether the attempt may have run.
    idempotent : bool
        Whether the request may run more than once.
    delivered : bool
        Whether part of an answer was delivered to the caller.
    attempts : int
        Number of attempts so far, including this one.
    """

    __slots__ = ("outcome", "idempotent", "delivered", "attempts")

    def __init__(self, *, outcome, idempotent, delivered, attempts):
        self.outcome = outcome
        self.idempotent = idempotent
        self.delivered = delivered
        self.attempts = attempts
