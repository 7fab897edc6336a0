"""Batch job as input to the choice of a chunk."""

__all__ = ["JobView"]


class JobView:
    """State of one unfinished job as known to one daemon.

    Parameters
    ----------
    job : str
    due : float
        Due time, seconds since the epoch.
    items_left : int
        Number of unfinished items.
    open_chunks : list of int
        Chunks not known to be finished or claimed.
    """

    __slots__ = ("job", "due", "items_left", "open_chunks")

    def __init__(self, *, job, due, items_left, open_chunks):
        self.job = job
        self.due = due
        self.items_left = items_left
        self.open_chunks = open_chunks
