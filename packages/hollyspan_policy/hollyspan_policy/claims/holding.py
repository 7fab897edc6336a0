"""Number of chunks that one daemon claims."""

import math

__all__ = ["count_chunks_to_claim"]

TARGET_BACKLOG_S = 5.0


def count_chunks_to_claim(
    *, free_slots, items_per_second, items_held, chunk_items
):
    """Compute the number of additional chunks to claim.

    Parameters
    ----------
    free_slots : int
        Slots available to batch work at the daemon's upstreams.
    items_per_second : float
        Rate at which this daemon finishes items.
    items_held : int
        Unfinished items of the chunks that the daemon holds.
    chunk_items : float
        Mean number of items per chunk.

    Returns
    -------
    int
        0 while the held items keep the slots occupied for the next seconds.
        The number is kept small so that other daemons find work too.

    Examples
    --------
    >>> count_chunks_to_claim(
    ...     free_slots=8, items_per_second=4.0, items_held=0, chunk_items=20
    ... )
    1
    """
    if free_slots <= 0:
        return 0
    target_items = max(free_slots, items_per_second * TARGET_BACKLOG_S)
    missing_items = target_items - items_held
    if missing_items <= 0:
        return 0
    return math.ceil(missing_items / max(1.0, chunk_items))
