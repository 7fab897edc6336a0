"""One failed attempt as seen when a retry is decided."""

__all__ = ["AttemptFailure"]


class AttemptFailure:
    """What is known of a failed attempt.

    Parameters
    ----------
    outcome : Outcome
        Whether the attempt can have run.
    idempotent : bool
        Whether the request may run more than once.
    delivered : bool
        Whether part of an answer has gone to the caller.
    attempts : int
        Attempts so far, this one included.
    """

    __slots__ = ("outcome", "idempotent", "delivered", "attempts")

    def __init__(self, *, outcome, idempotent, delivered, attempts):
        self.outcome = outcome
        self.idempotent = idempotent
        self.delivered = delivered
        self.attempts = attempts
