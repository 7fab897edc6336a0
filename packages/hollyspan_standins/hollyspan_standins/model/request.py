"""State of the requests and items in a simulated fleet."""

__all__ = ["ItemState", "RequestState"]


class RequestState:
    """State of an online request.

    Attributes
    ----------
    arrived_at : float
        Time of the first arrival.
    deadline : float
        Time at which the client gives up.
    first_event_at : float or None
        Time at which the client receives the first event.
    last_event_at : float or None
        Time at which the client receives the latest event.
    longest_pause : float
        Longest time between two events, in seconds.
    returned_at : float or None
        Time at which the client came back after a refusal.
    refuse_at : float or None
        Time at which the gateway that holds it refuses it.
    end_reason : str or None
        ``answered``, ``refused``, ``given_up`` or ``lost``.
    reported_load : (int, int) or None
        Running and waiting streams that the upstream reported with the first
        event.
    expected_load : int or None
        Streams expected at the upstream when it was chosen.
    """

    __slots__ = (
        "key",
        "arrival",
        "arrived_at",
        "deadline",
        "tried",
        "sends",
        "refusals",
        "client_retries",
        "returned_at",
        "refuse_at",
        "received_tokens",
        "first_event_at",
        "last_event_at",
        "longest_pause",
        "end_reason",
        "reported_load",
        "expected_load",
        "sent_at",
    )

    def __init__(self, *, key, arrival, deadline):
        self.key = key
        self.arrival = arrival
        self.arrived_at = arrival.at
        self.deadline = deadline
        self.tried = set()
        self.sends = 0
        self.refusals = 0
        self.client_retries = 0
        self.returned_at = None
        self.refuse_at = None
        self.received_tokens = 0
        self.first_event_at = None
        self.last_event_at = None
        self.longest_pause = 0.0
        self.end_reason = None
        self.reported_load = None
        self.expected_load = None
        self.sent_at = None

    def handle_event(self, generated, *, now):
        """Record an event that the client receives."""
        self.received_tokens = generated
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.longest_pause = max(
                self.longest_pause, now - self.last_event_at
            )
        self.last_event_at = now


class ItemState:
    """State of an item of a batch job.

    Attributes
    ----------
    received_tokens : int
        Tokens that the gateway has received.
    generated : int
        Tokens that engines have generated in all runs of the item.
    not_before : float
        Earliest time of the next run.
    finished_at : float or None
    """

    __slots__ = (
        "key",
        "parts",
        "tokens",
        "due",
        "received_tokens",
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
        self.received_tokens = 0
        self.generated = 0
        self.runs = 0
        self.not_before = 0.0
        self.finished_at = None
