"""Measurements of one request."""

__all__ = ["Sample"]


class Sample:
    """Measurements of one request.

    Times are in seconds since the start of the run, unless stated otherwise.

    Parameters
    ----------
    target : str
    due : float
        Planned time of the request.

    Attributes
    ----------
    first_token : float or None
        Seconds from the sending of the request to the first token.
    failure : str or None
        Why there is no complete answer.
    is_right : bool or None
        Whether a complete answer is the expected one.
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
        """Seconds between consecutive tokens."""
        times = self.token_times
        return [later - earlier for earlier, later in zip(times, times[1:])]

    def to_document(self):
        """Return the sample as a JSON document."""
        document = {name: getattr(self, name) for name in self.__slots__}
        del document["token_times"]
        document["tokens"] = len(self.token_times)
        document["gaps"] = [round(gap, 6) for gap in self.gaps]
        return document
