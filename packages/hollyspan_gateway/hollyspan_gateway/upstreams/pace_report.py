"""Pace of an upstream, for peers."""

__all__ = ["PaceReport"]


class PaceReport:
    """What a gateway knows of an upstream's pace.

    Parameters
    ----------
    allowed : int or None
        Requests that may be in flight from all gateways together; None when
        the pace has ended.
    age : float
        Time since the answer that shows it, seconds; infinite when there was
        none yet.
    """

    __slots__ = ("allowed", "age")

    def __init__(self, *, allowed, age):
        self.allowed = allowed
        self.age = age
