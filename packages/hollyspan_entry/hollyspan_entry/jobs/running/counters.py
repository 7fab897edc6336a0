"""Event counters of the job runner."""

__all__ = ["JobCounters"]


class JobCounters:
    """Event counts since the start of the daemon.

    Attributes
    ----------
    completed, failed : int
        Items that completed or failed.
    preempted, resumed : int
        Streams cancelled to make room for online requests, and those of
        them that were resumed later.
    redone_tokens : int
        Tokens discarded with streams that were lost after a preemption or
        a failure, and that had to be generated again.
    claimed, released, closed : int
        Chunks claimed, released or closed.
    """

    __slots__ = (
        "completed",
        "failed",
        "preempted",
        "resumed",
        "redone_tokens",
        "claimed",
        "released",
        "closed",
    )

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)
