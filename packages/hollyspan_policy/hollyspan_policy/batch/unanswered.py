"""Choice of the streams to cancel when their owner does not answer."""

__all__ = ["choose_unanswered"]

# Streams that the owner may have started since it told of the others.
UNTOLD_PER_SLOT = 2


def choose_unanswered(running, *, highest, slots):
    """Choose the batch streams of a silent owner that are to be cancelled.

    Parameters
    ----------
    running : iterable of int
        Numbers of the streams that the owner told of.
    highest : int
        Last number that it had given to a stream by then; 0 when it told
        of none.
    slots : int
        Streams that the upstream runs at once.

    Returns
    -------
    list of int
        Numbers, in the order in which to cancel them.

    Notes
    -----
    The online requests of a silent owner are not known, and those of other
    daemons may be known late. So no slot that a batch stream holds is known
    to be spare, and all streams are chosen, those with the least work first.
    The streams of a lost owner are lost work in any case; one that lives
    resumes its own at their offset. The owner numbers its streams
    on an upstream one after the other; streams started since it last spoke
    have the next numbers. A cancel of a number that was not given yet has
    no effect.

    Examples
    --------
    >>> choose_unanswered([3, 7], highest=7, slots=1)
    [7, 3, 8, 9]
    """
    told = sorted(set(running), reverse=True)
    untold = range(highest + 1, highest + 1 + UNTOLD_PER_SLOT * slots)
    return [*told, *untold]
