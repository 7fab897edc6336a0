"""What one request saw."""

__all__ = ["Sample"]


class Sample:
    """Times of one request, in seconds since the start of the run.

    Parameters
    ----------
    target : str
    due : float
        When the request was to be sent.
    """

    __slots__ = (
        "target",
        "due",
        "sent",
        "status",
        "first_token",
        "token_times",
        "finished",
        "failure",
        "is_right",
    )

    def __init__(self, *, target, due):
        self.target = target
        self.due = due
        self.sent = None
        self.status = None
        self.first_token = None
        self.token_times = []
        self.finished = None
        self.failure = None
        self.is_right = None

    @property
    def gaps(self):
        """Times between tokens."""
        times = self.token_times
        return [later - earlier for earlier, later in zip(times, times[1:])]

    def to_document(self):
        """Return the sample as JSON."""
        document = {name: getattr(self, name) for name in self.__slots__}
        del document["token_times"]
        document["tokens"] = len(self.token_times)
        document["gaps"] = [round(gap, 6) for gap in self.gaps]
        return document
