"""Times of the events of one run at an upstream."""

import enum

__all__ = ["RunKind", "TimedRun"]


class RunKind(enum.Enum):
    """Kinds of runs whose times can be compared with each other."""

    ONLINE = "online"
    BATCH = "batch"
    # Answers without events, of which the end is timed.
    PLAIN = "plain"


class TimedRun:
    """What placement and paces need to know of a run at an upstream.

    Parameters
    ----------
    upstream : Upstream
    kind : RunKind
    started_at : float
        Reactor seconds.
    in_flight : int
        Requests and items there from all gateways, and this one.
    target : float or None, optional
        Time within which the caller expects the first event, seconds.
    longest_pause : float or None, optional
        Longest pause between events that the caller accepts, seconds.

    Attributes
    ----------
    has_failed : bool
        True when the upstream has failed it, by evidence of its own.
    last_event : int or None
        Identifier of the last event that has arrived.
    last_event_at : float or None
        Time of its arrival; None before the first event of this run.
    """

    __slots__ = (
        "upstream",
        "kind",
        "started_at",
        "in_flight",
        "target",
        "longest_pause",
        "has_failed",
        "last_event",
        "last_event_at",
    )

    def __init__(
        self,
        *,
        upstream,
        kind,
        started_at,
        in_flight,
        target=None,
        longest_pause=None,
    ):
        self.upstream = upstream
        self.kind = kind
        self.started_at = started_at
        self.in_flight = in_flight
        self.target = target
        self.longest_pause = longest_pause
        self.has_failed = False
        self.last_event = None
        self.last_event_at = None
