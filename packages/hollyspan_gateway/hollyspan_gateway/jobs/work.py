"""A job as a worker knows it."""

__all__ = ["ItemWork", "JobWork"]


class ItemWork:
    """What a worker knows of one item.

    Parameters
    ----------
    job : JobWork
    item : Item
    key : int
        Hash of the job and the item.

    Attributes
    ----------
    is_listed : bool
        True once its result is in the store.
    failures : int
        Runs that the upstream answered with a failure of its own.
    texts : list of bytes
        Data of the events that have come.
    last_event : int or None
    run : ItemRun or None
        The present run.
    result : ItemResult or None
        The outcome that is still to be stored.
    not_before : float
        Time before which it is not run again.
    """

    __slots__ = (
        "job",
        "item",
        "key",
        "is_listed",
        "failures",
        "texts",
        "last_event",
        "run",
        "result",
        "not_before",
    )

    def __init__(self, *, job, item, key):
        self.job = job
        self.item = item
        self.key = key
        self.is_listed = False
        self.failures = 0
        self.texts = []
        self.last_event = None
        self.run = None
        self.result = None
        self.not_before = 0.0

    def forget_output(self):
        """Drop what has come, so that the item starts anew."""
        self.texts = []
        self.last_event = None


class JobWork:
    """A job and the state of its items.

    Parameters
    ----------
    job : Job
    is_checked : bool
        True when the results in the store are known here.

    Attributes
    ----------
    items : dict
        ItemWork by identifier.
    is_ended : bool
    is_checking : bool
        True while the results are read.
    """

    __slots__ = ("job", "items", "is_ended", "is_checked", "is_checking")

    def __init__(self, *, job, is_checked):
        self.job = job
        self.items = {}
        self.is_ended = False
        self.is_checked = is_checked
        self.is_checking = False

    def is_complete(self):
        """True when no item is left to run."""
        return all(work.is_listed for work in self.items.values())
