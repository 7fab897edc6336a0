"""Choice of the batch streams to preempt."""

__all__ = ["choose_preempted"]


def choose_preempted(streams, *, count):
    """Choose the batch streams whose preemption loses the least work.

    Parameters
    ----------
    streams : iterable of StreamView
        The streams that run at one upstream.
    count : int
        How many are to stop.

    Returns
    -------
    list of StreamView
        In the order in which to cancel them.

    Notes
    -----
    Resumable streams go before the others, whose tokens would be generated
    anew. Streams without a token go last: their start may still be on its
    way, and a cancel that overtakes it stops nothing. Then the stream whose
    job is due latest goes first, and of one job's streams the one with the
    most tokens, which needs a slot for the shortest time later.

    Examples
    --------
    >>> from hollyspan_policy.batch import StreamView
    >>> early = StreamView(stream="a", due=1, resumable=True, generated=5)
    >>> late = StreamView(stream="b", due=9, resumable=True, generated=5)
    >>> [view.stream for view in choose_preempted([early, late], count=1)]
    ['b']
    """
    return sorted(streams, key=rank_loss)[: max(0, count)]


def rank_loss(view):
    lost = 0 if view.resumable else view.prompt + view.generated
    started = view.generated > 0
    return (lost, not started, -view.due, -view.generated, view.stream)
