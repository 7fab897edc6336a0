"""Numbers of the messages of a daemon."""

__all__ = ["MessageCount"]


class MessageCount:
    """Counts heartbeats and notices together, so that all have an order."""

    __slots__ = ("last",)

    def __init__(self):
        self.last = 0

    def take(self):
        """Return the next number.

        Returns
        -------
        int
        """
        self.last += 1
        return self.last
