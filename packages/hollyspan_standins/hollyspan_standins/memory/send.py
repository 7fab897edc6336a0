"""One request at an upstream of the fleet in memory."""

__all__ = ["Send"]


class Send:
    """One request at an upstream.

    Attributes
    ----------
    time : float
        Time of sending, reactor seconds.
    parts : tuple of int
        Shared parts of its prompt.
    fingerprint : int
    last_event : int
        Last event that was sent.
    """

    __slots__ = (
        "time",
        "gateway",
        "upstream",
        "connection",
        "parts",
        "fingerprint",
        "last_event",
        "is_ended",
        "has_ended_upstream",
    )

    def __init__(self, *, time, gateway, upstream, connection):
        self.time = time
        self.gateway = gateway
        self.upstream = upstream
        self.connection = connection
        parts = connection.headers[b"parts"].split()
        self.parts = tuple(int(part) for part in parts)
        self.fingerprint = int(connection.headers[b"fingerprint"])
        self.last_event = 0
        self.is_ended = False
        self.has_ended_upstream = False

    def is_open(self):
        """Return whether the gateway still waits for the answer."""
        return not self.is_ended and not self.connection.is_cancelled
