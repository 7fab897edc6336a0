"""Whether there is memory for what a job is described by."""

__all__ = ["fits_anywhere", "may_read_job"]

# Time without any progress of the jobs that are held after which one more is
# held beyond the limit: less than the time within which jobs are due.
MAX_IDLE_S = 10.0


def may_read_job(*, held_bytes, limit, idle_seconds):
    """Return whether a gateway that runs items may read one more job.

    Parameters
    ----------
    held_bytes : int
        Memory that the open jobs it has read take.
    limit : int
        Bytes.
    idle_seconds : float
        Time since one of them has last made progress.

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: more jobs wait than their descriptions have room for, after
    a burst that the fronts had not heard of, or from builds that refuse none.
    They are read in the order of their submission while items end. Jobs that
    cannot run, such as those of a blocked part, keep their room; behind them
    the others would wait for good.

    Examples
    --------
    >>> may_read_job(held_bytes=900, limit=1_000, idle_seconds=0.0)
    True
    >>> may_read_job(held_bytes=1_000, limit=1_000, idle_seconds=1.0)
    False
    >>> may_read_job(held_bytes=1_000, limit=1_000, idle_seconds=10.0)
    True
    """
    return held_bytes < limit or idle_seconds >= MAX_IDLE_S


def fits_anywhere(size, rooms):
    """Return whether a gateway that runs items can hold a new job.

    Parameters
    ----------
    size : int
        Bytes.
    rooms : list of (int or None)
        Bytes left at each gateway that runs items; None at one that does not
        tell, or holds no job.

    Returns
    -------
    bool
        True without such gateways, of which nothing is known then.

    Notes
    -----
    Load pattern: jobs come faster than their items run. A single gateway that
    is full by itself must not have the jobs of the fleet refused: the others
    run its items. The room that is told is as old as the last message.

    Examples
    --------
    >>> fits_anywhere(200, [0, 100])
    False
    >>> fits_anywhere(200, [0, 300]), fits_anywhere(200, [0, None])
    (True, True)
    """
    return not rooms or any(room is None or size <= room for room in rooms)
