"""Choice of the next chunk to claim."""

from ..hashing import hash_parts
from ..ownership import choose_owner
from .feasibility import order_jobs

__all__ = ["choose_chunk"]


def choose_chunk(jobs, *, instance, now, instances=(), items_per_second=None):
    """Choose the next chunk to claim.

    Parameters
    ----------
    jobs : iterable of JobView
    instance : str
        Name of the claiming instance; it spreads claims over chunks.
    now : float
        Seconds since the epoch.
    instances : collection of str, optional
        Live instances that also claim chunks. Each of them prefers the
        chunks that rendezvous hashing assigns to it.
    items_per_second : float, optional
        Expected rate of the fleet. Without it, only jobs past their due
        time count as late.

    Returns
    -------
    tuple of (str, int) or None
        Job and chunk, or None without open chunks. Of the jobs that can be
        finished in time, the one with the earliest due time is chosen.

    Examples
    --------
    >>> from hollyspan_policy.claims import JobView
    >>> job = JobView(job="j", due=60.0, items_left=9, open_chunks=[4])
    >>> choose_chunk([job], instance="a", now=0.0)
    ('j', 4)
    """
    claimable = [job for job in jobs if job.open_chunks]
    if not claimable:
        return None
    rate = items_per_second or float("inf")
    first = order_jobs(claimable, items_per_second=rate, now=now)[0]

    def rank(chunk):
        duty = f"{first.job}/{chunk}"
        is_owner = choose_owner(duty, instances) == instance
        return is_owner, hash_parts(duty, instance)

    return first.job, max(first.open_chunks, key=rank)
