"""Request body that is kept in memory."""

import io

__all__ = ["BoundedBody"]


class BoundedBody(io.BytesIO):
    """Stores at most one byte more than the limit.

    The extra byte shows that the body is too large.

    Parameters
    ----------
    limit : int
        Maximum size of a body in bytes.
    """

    def __init__(self, *, limit):
        super().__init__()
        self.limit = limit

    def write(self, data):
        """Store bytes received from the connection."""
        remaining = self.limit + 1 - self.tell()
        return super().write(data[: max(0, remaining)])
