"""End of an upstream and the requests that may have caused it."""

__all__ = ["EndRecord"]


class EndRecord:
    """One upstream that ended while it began to answer requests.

    Parameters
    ----------
    at : float
        Time of the end, seconds.

    Attributes
    ----------
    requests : set of tuple of int
        Shared parts of the prompts that it had just begun to answer or had
        not begun to answer.
    """

    __slots__ = ("at", "requests")

    def __init__(self, *, at):
        self.at = at
        self.requests = set()
