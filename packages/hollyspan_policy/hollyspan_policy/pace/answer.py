"""An answer of a paced upstream, as input to the choice of its next pace."""

__all__ = ["PaceAnswer"]


class PaceAnswer:
    """What one answer says of the pace under which it was asked for.

    Parameters
    ----------
    verdict : Verdict
    in_flight : int
        Requests at the upstream from all gateways when this one was sent, and
        itself.
    started_at : float
        Time at which it was sent, seconds.
    at : float
        Time of the answer, seconds.
    slots : int
        Requests that the upstream runs at the same time.
    first_event : float or None, optional
        Seconds to its first event, if that is what the verdict is on.
    """

    __slots__ = (
        "verdict",
        "in_flight",
        "started_at",
        "at",
        "slots",
        "first_event",
    )

    def __init__(
        self, *, verdict, in_flight, started_at, at, slots, first_event=None
    ):
        self.verdict = verdict
        self.in_flight = in_flight
        self.started_at = started_at
        self.at = at
        self.slots = slots
        self.first_event = first_event
