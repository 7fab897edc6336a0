"""Sequence numbers of the messages of a daemon."""

__all__ = ["MessageSequence"]


class MessageSequence:
    """Numbers heartbeats and notices in one sequence, to order them all."""

    __slots__ = ("last",)

    def __init__(self):
        self.last = 0

    def advance(self):
        """Return the next sequence number.

        Returns
        -------
        int
        """
        self.last += 1
        return self.last
