"""Choice of the share of a limit that new work is counted against."""

from .share import compute_rooms
from .share import Share

__all__ = ["choose_reservation"]


def choose_reservation(shares, *, released, limit, tokens, preferred):
    """Choose the share that accepts new work.

    Parameters
    ----------
    shares : list of Share
    released : list of int
        Tokens of each share whose items have ended; may be out of date.
    limit : int
        Limit on the waiting tokens of all shares together.
    tokens : int
        Tokens of the new work.
    preferred : int
        Index of the share to use if it has room, so that daemons seldom
        change the same share at the same moment.

    Returns
    -------
    (int, dict) or None
        Index of the share that accepts the work, and the new Share by index.
        The limit holds if all shares in the dict are replaced at once, each
        by a compare-and-swap. None when the work does not fit.

    Notes
    -----
    Load pattern: many jobs that arrive at many daemons at the same moment.
    One counter for all would make each of them wait for the others. Each
    share is an escrow [1]_: what it has left can be given out without a look
    at the others. A share that is too full for a large job borrows from the
    others in the same write, so that no room is lost between them.

    After a limit was lowered some shares may hold more than their part. Room
    in the others is then not room under the limit, and all shares are
    replaced, so that the sum is compared as of one moment.

    References
    ----------
    .. [1] P. E. O'Neil, "The escrow transactional method", ACM Transactions
       on Database Systems 11(4), 1986.

    Examples
    --------
    >>> index, changed = choose_reservation(
    ...     [Share(), Share()],
    ...     released=[0, 0],
    ...     limit=100,
    ...     tokens=30,
    ...     preferred=1,
    ... )
    >>> index, changed[1].accepted
    (1, 30)
    """
    rooms = compute_rooms(shares, released=released, limit=limit)
    if sum(rooms) < tokens:
        return None
    index = max(range(len(rooms)), key=rooms.__getitem__)
    if rooms[preferred] >= tokens:
        index = preferred
    if rooms[index] >= tokens and min(rooms) >= 0:
        share = shares[index]
        changed = Share(
            accepted=share.accepted + tokens, borrowed=share.borrowed
        )
        return index, {index: changed}
    return index, borrow(shares, rooms=rooms, index=index, tokens=tokens)


def borrow(shares, *, rooms, index, tokens):
    """Return all shares after one has borrowed what it lacks."""
    missing = max(0, tokens - rooms[index])
    changed = {
        index: Share(
            accepted=shares[index].accepted + tokens,
            borrowed=shares[index].borrowed + missing,
        )
    }
    lenders = sorted(
        (each for each in range(len(shares)) if each != index),
        key=lambda each: -rooms[each],
    )
    for each in lenders:
        lent = min(missing, max(0, rooms[each]))
        missing -= lent
        changed[each] = Share(
            accepted=shares[each].accepted,
            borrowed=shares[each].borrowed - lent,
        )
    return changed
