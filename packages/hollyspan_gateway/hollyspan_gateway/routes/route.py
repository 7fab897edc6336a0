"""One route."""

import enum

__all__ = ["Route", "RouteKind"]


class RouteKind(enum.Enum):
    """What a route carries, and so what may be repeated."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    BATCH = "batch"


class Route:
    """Where requests of one host and path prefix go.

    Parameters
    ----------
    name : str
    host : str
    prefix : str
        Begins and ends with a slash.
    kind : RouteKind
    services : list of (str, float)
        Services by weight.
    timeout : float
        Seconds that a request may be kept waiting for the end of its answer.
    aim : float
        Seconds within which an answer, or its first event, is on time.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Most upstreams that one request may be sent to.
    is_resumable : bool
        A broken stream may go on at another upstream.
    max_pause : float or None
        Seconds between two events of a stream that is on time.
    completion_seconds : float or None
        Time for a job from its submission to its last result.
    retention_seconds : float or None
        Time from a job's submission after which items may be given up.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "kind",
        "services",
        "timeout",
        "aim",
        "priority",
        "max_attempts",
        "is_resumable",
        "max_pause",
        "completion_seconds",
        "retention_seconds",
    )

    def __init__(
        self,
        *,
        name,
        host,
        prefix,
        kind,
        services,
        timeout,
        aim,
        priority,
        max_attempts,
        is_resumable=False,
        max_pause=None,
        completion_seconds=None,
        retention_seconds=None,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.kind = kind
        self.services = services
        self.timeout = timeout
        self.aim = aim
        self.priority = priority
        self.max_attempts = max_attempts
        self.is_resumable = is_resumable
        self.max_pause = max_pause
        self.completion_seconds = completion_seconds
        self.retention_seconds = retention_seconds

    @property
    def is_repeatable(self):
        """True when a request that may have run can be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable
