"""Which jobs can still be finished in time."""

__all__ = ["order_jobs"]


def order_jobs(jobs, *, items_per_second, now):
    """Order jobs so that as many as possible make their due time.

    Parameters
    ----------
    jobs : iterable of JobView
    items_per_second : float
        Expected rate of the fleet.
    now : float
        Seconds since the epoch.

    Returns
    -------
    list of JobView
        Those that can be finished in time by due time, then the rest by
        due time.

    Notes
    -----
    Moore and Hodgson's rule [1]_: jobs are taken by due time, and whenever
    one would end late, the longest taken so far is put off.

    References
    ----------
    .. [1] J. M. Moore, "An n job, one machine sequencing algorithm for
       minimizing the number of late jobs", Management Science 15(1), 1968.
    """
    kept = []
    late = []
    items = 0
    for job in sorted(jobs, key=rank_due):
        kept.append(job)
        items += job.items_left
        if now + items / items_per_second > job.due:
            longest = max(kept, key=lambda other: other.items_left)
            kept.remove(longest)
            items -= longest.items_left
            late.append(longest)
    return kept + sorted(late, key=rank_due)


def rank_due(job):
    return job.due, job.job
