"""Reservation of a job's tokens under the limit of its route."""

__all__ = ["Reservation"]


class Reservation:
    """Where the waiting tokens of a job are counted.

    Parameters
    ----------
    quota : str
        Identifier of the route's counters.
    share : int
        Index of the share that has accepted the tokens.
    """

    __slots__ = ("quota", "share")

    def __init__(self, *, quota, share):
        self.quota = quota
        self.share = share
