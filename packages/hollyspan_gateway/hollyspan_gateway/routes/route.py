"""Routes of requests to services."""

import enum

__all__ = ["Route", "RouteKind"]


class RouteKind(enum.Enum):
    """Kind of a route's requests, which decides whether to retry them."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    BATCH = "batch"


class Route:
    """Services and limits for requests with one host and path prefix.

    Parameters
    ----------
    name : str
    host : str
    prefix : str
        Begins and ends with a slash.
    kind : RouteKind
    services : list of (str, float)
        Names and weights of the services.
    timeout : float
        Seconds within which the answer of a request must be complete.
    latency_target : float
        Target latency in seconds of an answer or of its first event.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Maximum number of upstreams that may have run one request.
    is_resumable : bool
        Whether a broken stream may resume at another upstream.
    max_pause : float or None
        Target for the longest time in seconds between two events.
    completion_seconds : float or None
        Time from a job's submission to the deadline of its last result.
    retention_seconds : float or None
        Time from a job's submission after which its items may be given up.
    max_waiting_tokens : int, optional
        Limit on the tokens of all accepted items that have not ended; 0 for
        no limit.
    is_public : bool, optional
        Whether its requests need no key of a workspace.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "kind",
        "services",
        "timeout",
        "latency_target",
        "priority",
        "max_attempts",
        "is_resumable",
        "max_pause",
        "completion_seconds",
        "retention_seconds",
        "max_waiting_tokens",
        "is_public",
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
        latency_target,
        priority,
        max_attempts,
        is_resumable=False,
        max_pause=None,
        completion_seconds=None,
        retention_seconds=None,
        max_waiting_tokens=0,
        is_public=False,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.kind = kind
        self.services = services
        self.timeout = timeout
        self.latency_target = latency_target
        self.priority = priority
        self.max_attempts = max_attempts
        self.is_resumable = is_resumable
        self.max_pause = max_pause
        self.completion_seconds = completion_seconds
        self.retention_seconds = retention_seconds
        self.max_waiting_tokens = max_waiting_tokens
        self.is_public = is_public

    @property
    def is_repeatable(self):
        """True when a request that may have run may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable
