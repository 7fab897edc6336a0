"""Choice of the batch streams to cancel when their owner is silent."""

__all__ = ["choose_orphaned_streams"]

# Bound on the streams that the owner may have started since its last message.
UNANNOUNCED_STREAMS_PER_SLOT = 2


def choose_orphaned_streams(running, *, highest, slots):
    """Choose the batch streams of a silent owner to cancel.

    Parameters
    ----------
    running : iterable of int
        Numbers of the streams that the owner announced.
    highest : int
        Highest stream number assigned at the time of that announcement; 0
        when the owner announced no stream.
    slots : int
        Streams that the upstream runs concurrently.

    Returns
    -------
    list of int
        Numbers of streams, in the order in which to cancel them.

    Notes
    -----
    The online requests of a silent owner are unknown, and those of other
    daemons may be known with a delay. No slot that a batch stream occupies is
    therefore known to be dispensable, and all streams are chosen, those with
    the least completed work first. The work of a failed owner's streams is
    lost in any case; an owner that is still alive resumes its streams at their
    offset. The owner numbers its streams at an upstream consecutively, so
    streams started since its last message have the next numbers. Cancelling a
    number that is not assigned yet has no effect.

    Examples
    --------
    >>> choose_orphaned_streams([3, 7], highest=7, slots=1)
    [7, 3, 8, 9]
    """
    announced = sorted(set(running), reverse=True)
    unannounced = range(
        highest + 1, highest + 1 + UNANNOUNCED_STREAMS_PER_SLOT * slots
    )
    return [*announced, *unannounced]
