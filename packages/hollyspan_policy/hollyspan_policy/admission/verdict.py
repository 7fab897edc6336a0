"""Result of an admission decision."""

__all__ = ["Admission"]


class Admission:
    """Result of the admission decision for one request.

    Parameters
    ----------
    accepted : bool
        Whether the request is admitted.
    expected : float
        Expected wait for the first token, seconds.
    retry_after : float
        Seconds after which the caller may retry a refused request, else 0.0.
    """

    __slots__ = ("accepted", "expected", "retry_after")

    def __init__(self, *, accepted, expected, retry_after=0.0):
        self.accepted = accepted
        self.expected = expected
        self.retry_after = retry_after
