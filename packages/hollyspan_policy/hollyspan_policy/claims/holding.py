"""How many chunks one daemon holds at once."""

import math

__all__ = ["count_chunks_to_hold"]

HOLD_SECONDS = 5.0


def count_chunks_to_hold(
    *, free_slots, items_per_second, items_held, chunk_items
):
    """Return how many more chunks to claim.

    Parameters
    ----------
    free_slots : int
        Slots that the daemon's upstreams leave to batch work.
    items_per_second : float
        Rate at which this daemon finishes items.
    items_held : int
        Unfinished items of the chunks that it holds.
    chunk_items : float
        Mean items of a chunk.

    Returns
    -------
    int
        None while the held items fill the slots for the next seconds; so
        few that other daemons find work too.

    Examples
    --------
    >>> count_chunks_to_hold(
    ...     free_slots=8, items_per_second=4.0, items_held=0, chunk_items=20
    ... )
    1
    """
    if free_slots <= 0:
        return 0
    wanted = max(free_slots, items_per_second * HOLD_SECONDS)
    missing = wanted - items_held
    if missing <= 0:
        return 0
    return math.ceil(missing / max(1.0, chunk_items))
