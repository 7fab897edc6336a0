"""Requests and items on their way through a simulated fleet."""

__all__ = ["ItemState", "RequestState"]


class RequestState:
    """One online request.

    Attributes
    ----------
    arrived : float
        Time of its first arrival.
    until : float
        Time at which it is given up.
    first_at : float or None
        Time of the first event, at the client.
    last_at : float or None
        Time of the latest event.
    longest_pause : float
        Longest time between two events, seconds.
    ended : str or None
        ``answered``, ``refused``, ``given_up`` or ``lost``.
    report : (int, int) or None
        Streams that ran and waited at the upstream when the answer began.
    belief : int or None
        Streams that were believed to be there when it was chosen.
    """

    __slots__ = (
        "key",
        "arrival",
        "arrived",
        "until",
        "tried",
        "sends",
        "refusals",
        "returns",
        "done",
        "first_at",
        "last_at",
        "longest_pause",
        "ended",
        "report",
        "belief",
        "sent_at",
    )

    def __init__(self, *, key, arrival, until):
        self.key = key
        self.arrival = arrival
        self.arrived = arrival.at
        self.until = until
        self.tried = set()
        self.sends = 0
        self.refusals = 0
        self.returns = 0
        self.done = 0
        self.first_at = None
        self.last_at = None
        self.longest_pause = 0.0
        self.ended = None
        self.report = None
        self.belief = None
        self.sent_at = None

    def take_event(self, generated, *, now):
        """Take note of an event that the client gets."""
        self.done = generated
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_at)
        self.last_at = now


class ItemState:
    """One item of a batch job.

    Attributes
    ----------
    done : int
        Tokens that have come.
    generated : int
        Tokens that engines have generated for it, in all runs.
    not_before : float
        Time until which it pauses.
    finished_at : float or None
    """

    __slots__ = (
        "key",
        "parts",
        "tokens",
        "due",
        "done",
        "generated",
        "runs",
        "not_before",
        "finished_at",
    )

    def __init__(self, *, key, parts, tokens, due):
        self.key = key
        self.parts = parts
        self.tokens = tokens
        self.due = due
        self.done = 0
        self.generated = 0
        self.runs = 0
        self.not_before = 0.0
        self.finished_at = None
