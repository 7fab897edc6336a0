"""Result of an admission decision."""

__all__ = ["Admission"]


class Admission:
    """Result of the admission decision for one request.

    Parameters
    ----------
    admitted : bool
        Whether the request is admitted.
    expected_wait : float
        Expected wait for the first token, seconds.
    retry_after : float
        Seconds after which the caller may retry a refused request, else 0.0.
    """

    __slots__ = ("admitted", "expected_wait", "retry_after")

    def __init__(self, *, admitted, expected_wait, retry_after=0.0):
        self.admitted = admitted
        self.expected_wait = expected_wait
        self.retry_after = retry_after
