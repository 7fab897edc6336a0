"""A notice that waits for its answer."""

__all__ = ["Question"]


class Question:
    """A notice that waits for its answer.

    Parameters
    ----------
    owner : str
        The daemon that was asked.
    sequence : int
        Of the notice.
    upstreams : sequence of Upstream
        What the notice tells of.
    send : callable
        Sends the notice again.

    Attributes
    ----------
    timer : IDelayedCall or None
    """

    __slots__ = ("owner", "sequence", "upstreams", "send", "timer")

    def __init__(self, *, owner, sequence, upstreams, send):
        self.owner = owner
        self.sequence = sequence
        self.upstreams = upstreams
        self.send = send
        self.timer = None
