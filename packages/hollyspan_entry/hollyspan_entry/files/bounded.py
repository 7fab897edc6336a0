"""Body of a request that is held in memory."""

import io

__all__ = ["BoundedBody"]


class BoundedBody(io.BytesIO):
    """Keeps no more of a body than shows that it is too large.

    Parameters
    ----------
    limit : int
        Bytes that a body may have.
    """

    def __init__(self, *, limit):
        super().__init__()
        self.limit = limit

    def write(self, data):
        """Take in bytes from the connection."""
        room = self.limit + 1 - self.tell()
        return super().write(data[: max(0, room)])
