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
    started_at : float
        Monotonic seconds.

    Attributes
    ----------
    deferred : Deferred or None
        Cancelled to stop the stream.
    reason : StopReason or None
    stream_number : int or None
        Of the stream, as told to the peers.
    """

    __slots__ = (
        "chunk",
        "item",
        "upstream",
        "started_at",
        "deferred",
        "reason",
        "stream_number",
    )

    def __init__(self, *, chunk, item, upstream, started_at):
        self.chunk = chunk
        self.item = item
        self.upstream = upstream
        self.started_at = started_at
        self.deferred = None
        self.reason = None
        self.stream_number = None

    def cancel(self, reason):
        """Stop the stream at its engine.

        Parameters
        ----------
        reason : StopReason
        """
        if self.reason is None:
            self.reason = reason
            self.deferred.cancel()
