"""The run of one item at an upstream."""

import enum

__all__ = ["Run", "StopReason"]


class StopReason(enum.Enum):
    """Reason for which a stream is cancelled."""

    PREEMPTED = "preempted"
    STOPPED = "stopped"
    TIMEOUT = "timeout"


class Run:
    """A run of an item in a stream.

    Parameters
    ----------
    chunk : HeldChunk
    item : Item
    upstream : Upstream
    started_at : float
        Monotonic seconds at the start of the run.

    Attributes
    ----------
    deferred : Deferred or None
        The running coroutine; cancelling it stops the stream.
    reason : StopReason or None
        Reason of the cancellation, None unless cancelled.
    stream_number : int or None
        Number of the stream, as broadcast to peers.
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
        """Cancel the stream at its engine; later calls have no effect.

        Parameters
        ----------
        reason : StopReason
        """
        if self.reason is None:
            self.reason = reason
            self.deferred.cancel()
