"""When a gateway starts an item that another one owns."""

__all__ = ["MIN_IDLE_S", "may_succeed"]

# Gateways behind the owner that may start an item. Each one leaves the one
# before it time to start it and to tell so.
MAX_SUCCESSORS = 4
SUCCESSION_INTERVAL_S = 2.0
# Time without work on the item: several heartbeats, and the time in which
# the owner's result becomes known.
MIN_IDLE_S = 4.0
# The same while the owner, which may work on it, is heard by others only.
UNHEARD_IDLE_S = 9.0
# The same for an item that another gateway names without progress: more than
# the longest time between two events and the delay until it is known.
STALLED_S = 8.0
# Shortest time without work on an item that has no place while later ones
# get places: an owner that is only behind the others has then begun it.
OVERTAKEN_S = 8.0


def may_succeed(
    *,
    rank,
    idle_seconds,
    free_seconds,
    is_owner_heard,
    is_claimed,
    is_overtaken=False,
):
    """Return whether a gateway may start an item that another one owns.

    Parameters
    ----------
    rank : int
        Rank of the gateway behind the owner, from 0; -1 for the owner, which
        waits for another gateway that names the item.
    idle_seconds : float
        Time since the item was last seen to make progress.
    free_seconds : float
        Time for which a place was free for it at the deciding gateway.
    is_owner_heard : bool
        Whether messages of the owner arrive at the deciding gateway.
    is_claimed : bool
        Whether a gateway says that it works on the item.
    is_overtaken : bool, optional
        Whether the deciding gateway has just started items of its own that
        are due later.

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: after faults in series the owner of an item lives but does
    not start it, for a reason that holds only there, while most places are
    free. Where items wait for places, every gateway sees that none is free,
    and starts the items that are due first, whoever owns them.

    Examples
    --------
    >>> may_succeed(
    ...     rank=0,
    ...     idle_seconds=5.0,
    ...     free_seconds=5.0,
    ...     is_owner_heard=True,
    ...     is_claimed=False,
    ... )
    True
    """
    if rank >= MAX_SUCCESSORS:
        return False
    if is_claimed:
        needed = STALLED_S
    elif is_owner_heard:
        needed = MIN_IDLE_S
    else:
        needed = UNHEARD_IDLE_S
    needed += max(0, rank) * SUCCESSION_INTERVAL_S
    if rank < 0 or free_seconds >= MIN_IDLE_S:
        return idle_seconds >= needed
    return is_overtaken and idle_seconds >= max(
        needed, OVERTAKEN_S + rank * SUCCESSION_INTERVAL_S
    )
