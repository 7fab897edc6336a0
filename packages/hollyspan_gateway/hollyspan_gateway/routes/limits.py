"""Limits on clients' connections and requests."""

__all__ = ["Limits"]


class Limits:
    """Limits on clients that one configuration sets.

    Parameters
    ----------
    header_bytes : int
        Maximum size of a request's head in bytes.
    body_bytes : int
        Maximum size of a request's body in bytes.
    header_seconds : float
        Timeout for receiving the head of a request.
    idle_seconds : float
        Idle timeout between two requests on a connection.
    """

    __slots__ = (
        "header_bytes",
        "body_bytes",
        "header_seconds",
        "idle_seconds",
    )

    def __init__(
        self, *, header_bytes, body_bytes, header_seconds, idle_seconds
    ):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_seconds = header_seconds
        self.idle_seconds = idle_seconds
