"""Work that received bytes cause behind the HTTP client."""

__all__ = ["count_pieces", "get_piece_count"]


class Tally:
    """Number of pieces that readers of bodies have handled.

    Attributes
    ----------
    pieces : int
    """

    __slots__ = ("pieces",)

    def __init__(self):
        self.pieces = 0


TALLY = Tally()


def count_pieces(pieces):
    """Count chunks, events or lines that a reader of a body handles.

    Parameters
    ----------
    pieces : int

    Notes
    -----
    The HTTP client stands between a connection and the reader of its body.
    Only the reader knows how many pieces some bytes were.
    """
    TALLY.pieces += pieces


def get_piece_count():
    """Return the number of pieces counted since the start.

    Returns
    -------
    int
    """
    return TALLY.pieces
