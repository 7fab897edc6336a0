"""Order of jobs by feasibility of their due times."""

__all__ = ["order_jobs"]


def order_jobs(jobs, *, items_per_second, now):
    """Order jobs so that as many as possible meet their due time.

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
        Jobs that can be finished in time, by due time, followed by the
        others, by due time.

    Notes
    -----
    Moore and Hodgson's rule [1]_: jobs are added in order of due time, and
    whenever one would finish late, the longest job added so far is moved to
    the late jobs.

    References
    ----------
    .. [1] J. M. Moore, "An n job, one machine sequencing algorithm for
       minimizing the number of late jobs", Management Science 15(1), 1968.
    """
    feasible = []
    late = []
    items = 0
    for job in sorted(jobs, key=compute_due_key):
        feasible.append(job)
        items += job.items_left
        if now + items / items_per_second > job.due:
            longest = max(feasible, key=lambda other: other.items_left)
            feasible.remove(longest)
            items -= longest.items_left
            late.append(longest)
    return feasible + sorted(late, key=compute_due_key)


def compute_due_key(job):
    return job.due, job.job
