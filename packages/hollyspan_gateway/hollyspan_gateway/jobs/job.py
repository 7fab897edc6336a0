"""One job."""

__all__ = ["Job"]


class Job:
    """A job as it was submitted.

    Parameters
    ----------
    identifier : str
    host : str
        Host of its route.
    path : str
    submitted : float
        Unix seconds.
    due : float
        Unix seconds by which all results are wanted.
    retained_until : float
        Unix seconds after which items may be given up.
    items : list of Item
    """

    __slots__ = (
        "identifier",
        "host",
        "path",
        "submitted",
        "due",
        "retained_until",
        "items",
    )

    def __init__(
        self, *, identifier, host, path, submitted, due, retained_until, items
    ):
        self.identifier = identifier
        self.host = host
        self.path = path
        self.submitted = submitted
        self.due = due
        self.retained_until = retained_until
        self.items = items
