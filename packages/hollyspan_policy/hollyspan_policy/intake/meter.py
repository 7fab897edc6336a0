"""What has been read of one message, against its limits."""

from hollyspan_core.errors import IntakeExceededError

__all__ = ["IntakeMeter"]


class IntakeMeter:
    """Counts the bytes and pieces of one message.

    Parameters
    ----------
    limits : IntakeLimits

    Attributes
    ----------
    content_bytes : int
    pieces : int
    """

    __slots__ = ("limits", "content_bytes", "pieces")

    def __init__(self, *, limits):
        self.limits = limits
        self.content_bytes = 0
        self.pieces = 0

    def count(self, size, *, pieces=1):
        """Count a part that has been read.

        Parameters
        ----------
        size : int
            Bytes.
        pieces : int, optional

        Raises
        ------
        IntakeExceededError
            The message has more bytes, or more and smaller pieces, than its
            limits allow.
        """
        self.content_bytes += size
        self.pieces += pieces
        limits = self.limits
        if self.content_bytes > limits.content_bytes:
            raise IntakeExceededError(
                f"{limits.what} exceeds {limits.content_bytes} bytes"
            )
        allowed = limits.spare_pieces + (
            self.content_bytes // limits.bytes_per_piece
        )
        if self.pieces > allowed:
            raise IntakeExceededError(
                f"{limits.what} has {self.pieces} pieces "
                f"in {self.content_bytes} bytes"
            )
