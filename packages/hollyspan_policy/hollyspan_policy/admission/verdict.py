"""Verdict on the admission of one request."""

__all__ = ["Admission"]


class Admission:
    """Whether a request is taken in.

    Parameters
    ----------
    accepted : bool
    expected : float
        Expected wait for the first token, seconds.
    retry_after : float
        Seconds after which a refused request may come again, else 0.0.
    """

    __slots__ = ("accepted", "expected", "retry_after")

    def __init__(self, *, accepted, expected, retry_after=0.0):
        self.accepted = accepted
        self.expected = expected
        self.retry_after = retry_after
