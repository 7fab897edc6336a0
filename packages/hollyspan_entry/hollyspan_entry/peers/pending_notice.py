"""Record of a notice that waits for its answer."""

__all__ = ["PendingNotice"]


class PendingNotice:
    """Notice that waits for its answer.

    Parameters
    ----------
    owner : str
        Recipient of the notice.
    sequence : int
        Sequence number of the notice.
    upstreams : sequence of Upstream
        Upstreams whose load the notice reports.
    send : callable
        Sends the notice again; called without arguments.

    Attributes
    ----------
    timer : IDelayedCall or None
        Call that resends or expires the notice.
    """

    __slots__ = ("owner", "sequence", "upstreams", "send", "timer")

    def __init__(self, *, owner, sequence, upstreams, send):
        self.owner = owner
        self.sequence = sequence
        self.upstreams = upstreams
        self.send = send
        self.timer = None
