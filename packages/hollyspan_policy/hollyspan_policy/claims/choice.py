"""Choice of the next chunk to claim."""

from ..hashing import hash_parts

__all__ = ["choose_chunk"]


def choose_chunk(jobs, *, instance, now):
    """Choose a job and a chunk of it.

    Parameters
    ----------
    jobs : iterable of JobView
    instance : str
        The claiming instance; spreads claims over chunks.
    now : float
        Seconds since the epoch.

    Returns
    -------
    tuple of (str, int) or None
        Job and chunk; the job due first goes first.
    """
    waiting = [job for job in jobs if job.open_chunks]
    if not waiting:
        return None
    first = min(waiting, key=lambda job: (job.due, job.job))

    def weigh(chunk):
        return hash_parts(f"{first.job}/{chunk}", instance)

    return first.job, max(first.open_chunks, key=weigh)
