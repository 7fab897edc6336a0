"""Counts of what the runner did."""

__all__ = ["JobCounters"]


class JobCounters:
    """Counts since the start of the daemon.

    Attributes
    ----------
    completed, failed : int
        Items with a result.
    preempted, resumed : int
        Streams cancelled for online work, and those that went on later.
    redone_tokens : int
        Tokens of streams that were lost after a preemption or a failure.
    claimed, released, closed : int
        Chunks.
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
