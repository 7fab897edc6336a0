"""Shares of a limit."""

__all__ = ["Share", "compute_rooms"]


class Share:
    """One share of a limit and what was accepted against it.

    Parameters
    ----------
    accepted : int
        Tokens accepted against this share since its creation.
    borrowed : int
        Tokens that other shares have lent to this one; negative when it has
        lent more than it has borrowed. The sum over all shares is 0.
    """

    __slots__ = ("accepted", "borrowed")

    def __init__(self, *, accepted=0, borrowed=0):
        self.accepted = accepted
        self.borrowed = borrowed


def compute_rooms(shares, *, released, limit):
    """Compute how many tokens each share has left.

    Parameters
    ----------
    shares : list of Share
    released : list of int
        Tokens of each share whose items have ended since its creation.
    limit : int
        Limit on the waiting tokens of all shares together.

    Returns
    -------
    list of int
        Tokens; negative for a share that holds more than the limit, which
        has been lowered, allows.

    Notes
    -----
    Both counts only grow. A `released` that was read too early therefore
    makes the rooms too small, never too large.
    """
    base = limit // len(shares)
    return [
        base + share.borrowed - (share.accepted - ended)
        for share, ended in zip(shares, released)
    ]
