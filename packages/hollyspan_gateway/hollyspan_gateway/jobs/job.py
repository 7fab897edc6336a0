"""Submitted jobs."""

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
        Deadline for all results, Unix seconds.
    retained_until : float
        Unix seconds after which unfinished items may be given up.
    items : list of Item
    reservation : Reservation or None, optional
        What its tokens are counted against; None without a limit.
    workspace : str or None, optional
        Name of the workspace that it belongs to.

    Attributes
    ----------
    item_count : int
        Number of items, also where they are not kept.
    """

    __slots__ = (
        "identifier",
        "host",
        "path",
        "submitted",
        "due",
        "retained_until",
        "items",
        "reservation",
        "workspace",
        "item_count",
    )

    def __init__(
        self,
        *,
        identifier,
        host,
        path,
        submitted,
        due,
        retained_until,
        items,
        reservation=None,
        workspace=None,
    ):
        self.identifier = identifier
        self.host = host
        self.path = path
        self.submitted = submitted
        self.due = due
        self.retained_until = retained_until
        self.items = items
        self.reservation = reservation
        self.workspace = workspace
        self.item_count = len(items)

    def drop_bodies(self):
        """Keep the items without their headers and bodies."""
        self.items = [item.copy_without_body() for item in self.items]

    def drop_items(self):
        """Keep none of the items, of which nothing is asked any more."""
        self.items = []

    def copy_without_bodies(self):
        """Return the job with items without their headers and bodies."""
        return Job(
            identifier=self.identifier,
            host=self.host,
            path=self.path,
            submitted=self.submitted,
            due=self.due,
            retained_until=self.retained_until,
            items=[item.copy_without_body() for item in self.items],
            reservation=self.reservation,
            workspace=self.workspace,
        )

    def count_tokens(self):
        """Return the tokens of all items."""
        return sum(item.tokens for item in self.items)
