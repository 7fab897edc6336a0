"""What gateways tell each other about processes that may have ended."""

__all__ = ["UnprovenNotice"]


class UnprovenNotice:
    """Upstream whose process may have ended.

    Parameters
    ----------
    upstream : int
        Key of its incarnation.
    age : float
        Time since the first sign, seconds.
    """

    __slots__ = ("upstream", "age")

    def __init__(self, *, upstream, age):
        self.upstream = upstream
        self.age = age
