"""Limits on what a client may send."""

__all__ = ["Limits"]


class Limits:
    """Limits of one configuration.

    Parameters
    ----------
    header_bytes : int
        Most bytes of a request's head.
    body_bytes : int
        Most bytes of a request's body.
    header_seconds : float
        Longest time for the head of a request.
    idle_seconds : float
        Longest time between two requests of a connection.
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
