"""Limits on one message that a process reads."""

__all__ = ["IntakeLimits"]


class IntakeLimits:
    """Limits on one message: an answer, a request, a line of a watch.

    Parameters
    ----------
    what : str
        What is read, for the error.
    content_bytes : int
        Most bytes.
    spare_pieces : int
        Pieces that any message may have. A piece is what a parser handles at
        once: a chunk, an event, a line, a field.
    bytes_per_piece : int
        Average size of the further pieces, at least.
    """

    __slots__ = ("what", "content_bytes", "spare_pieces", "bytes_per_piece")

    def __init__(self, *, what, content_bytes, spare_pieces, bytes_per_piece):
        self.what = what
        self.content_bytes = content_bytes
        self.spare_pieces = spare_pieces
        self.bytes_per_piece = bytes_per_piece
