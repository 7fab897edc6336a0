"""State of a daemon as input to the shutdown plan."""

__all__ = ["DrainView"]


class DrainView:
    """State of a daemon that shuts down, at one moment.

    Parameters
    ----------
    elapsed : float
        Seconds since the shutdown was requested.
    peers_notified : bool
        Whether a heartbeat has announced that the daemon is leaving.
    idle_connections : int
        Caller connections without a request in flight.
    online : int
        Online requests in flight.
    batch : int
        Running batch streams.
    claims : int
        Claimed chunks.
    """

    __slots__ = (
        "elapsed",
        "peers_notified",
        "idle_connections",
        "online",
        "batch",
        "claims",
    )

    def __init__(
        self,
        *,
        elapsed,
        peers_notified=False,
        idle_connections=0,
        online=0,
        batch=0,
        claims=0,
    ):
        self.elapsed = elapsed
        self.peers_notified = peers_notified
        self.idle_connections = idle_connections
        self.online = online
        self.batch = batch
        self.claims = claims
