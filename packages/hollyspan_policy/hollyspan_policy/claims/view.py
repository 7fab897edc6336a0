"""What a daemon knows of a job when it chooses a chunk."""

__all__ = ["JobView"]


class JobView:
    """One unfinished job as seen by one daemon.

    Parameters
    ----------
    job : str
    due : float
        Seconds since the epoch.
    items_left : int
    open_chunks : list of int
        Chunks not known to be finished or claimed.
    """

    __slots__ = ("job", "due", "items_left", "open_chunks")

    def __init__(self, *, job, due, items_left, open_chunks):
        self.job = job
        self.due = due
        self.items_left = items_left
        self.open_chunks = open_chunks
