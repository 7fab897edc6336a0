"""What a daemon knows of itself at a planned stop."""

__all__ = ["DrainView"]


class DrainView:
    """The state of a stopping daemon at one moment.

    Parameters
    ----------
    elapsed : float
        Seconds since the stop was asked for.
    peers_told : bool
        Whether a heartbeat has said that the daemon leaves.
    idle_connections : int
        Connections of callers without a request.
    online : int
        Online requests in flight.
    batch : int
        Batch streams that run.
    claims : int
        Chunks held.
    """

    __slots__ = (
        "elapsed",
        "peers_told",
        "idle_connections",
        "online",
        "batch",
        "claims",
    )

    def __init__(
        self,
        *,
        elapsed,
        peers_told=False,
        idle_connections=0,
        online=0,
        batch=0,
        claims=0,
    ):
        self.elapsed = elapsed
        self.peers_told = peers_told
        self.idle_connections = idle_connections
        self.online = online
        self.batch = batch
        self.claims = claims
