"""Choice of batch streams to preempt."""

__all__ = ["choose_preempted"]


def choose_preempted(streams, *, count):
    """Choose the batch streams whose preemption loses the least work.

    Parameters
    ----------
    streams : iterable of StreamView
        Streams running at one upstream.
    count : int
        Number of streams to preempt.

    Returns
    -------
    list of StreamView
        Streams to preempt, in the order in which to cancel them.

    Notes
    -----
    Resumable streams are preempted before others, whose tokens would have to
    be generated again. Among streams that lose the same number of tokens,
    those without a token come last: the request that starts them may not have
    reached the upstream yet, and a cancellation that overtakes it has no
    effect. Further ties are broken by the latest due time of the job, and
    within a job by the largest number of tokens, since such a stream needs a
    slot for the shortest time when it resumes.

    Examples
    --------
    >>> from hollyspan_policy.batch import StreamView
    >>> early = StreamView(stream="a", due=1, resumable=True, generated=5)
    >>> late = StreamView(stream="b", due=9, resumable=True, generated=5)
    >>> [view.stream for view in choose_preempted([early, late], count=1)]
    ['b']
    """
    return sorted(streams, key=compute_preemption_key)[: max(0, count)]


def compute_preemption_key(view):
    lost_tokens = 0 if view.resumable else view.prompt + view.generated
    has_tokens = view.generated > 0
    return (
        lost_tokens,
        not has_tokens,
        -view.due,
        -view.generated,
        view.stream,
    )
