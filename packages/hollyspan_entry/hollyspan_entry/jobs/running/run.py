"""One item that runs at an upstream."""

import enum

__all__ = ["Run", "StopReason"]


class StopReason(enum.Enum):
    """Why a stream is cancelled."""

    PREEMPTED = "preempted"
    STOPPED = "stopped"
    TIMEOUT = "timeout"


class Run:
    """An item with the stream that it runs in.

    Parameters
    ----------
    chunk : HeldChunk
    item : Item
    upstream : Upstream
    began : float
        Monotonic seconds.

    Attributes
    ----------
    work : Deferred or None
        Cancelled to stop the stream.
    reason : StopReason or None
    number : int or None
        Of the stream, as told to the peers.
    """

    __slots__ = (
        "chunk",
        "item",
        "upstream",
        "began",
        "work",
        "reason",
        "number",
    )

    def __init__(self, *, chunk, item, upstream, began):
        self.chunk = chunk
        self.item = item
        self.upstream = upstream
        self.began = began
        self.work = None
        self.reason = None
        self.number = None

    def cancel(self, reason):
        """Stop the stream at its engine.

        Parameters
        ----------
        reason : StopReason
        """
        if self.reason is None:
            self.reason = reason
            self.work.cancel()
