"""Requests that a daemon takes while it stops."""

__all__ = ["bound_wait", "can_finish"]


def can_finish(*, seconds_needed, seconds_left):
    """Decide whether a daemon that stops takes a request.

    Parameters
    ----------
    seconds_needed : float
        Time after which the request has its final answer at the latest.
    seconds_left : float
        Time until the daemon ends its last request.

    Returns
    -------
    bool
        False for a request that is refused before anything is passed on.

    Notes
    -----
    Load pattern: clients go on at a daemon that stops, over connections that
    they keep and over new ones until the balancer has noticed. How long a
    request will run is not known, so that its time limit decides; one that
    could be cut off finishes at another daemon, at the price of a new
    connection.

    Examples
    --------
    >>> can_finish(seconds_needed=5.0, seconds_left=6.0)
    True
    >>> can_finish(seconds_needed=7.0, seconds_left=6.0)
    False
    """
    return seconds_needed <= seconds_left


def bound_wait(wait, *, seconds_left, answer_seconds):
    """Bound the time for which a daemon that stops lets a call wait.

    Parameters
    ----------
    wait : float
        Time for which the caller wants to wait, seconds.
    seconds_left : float
        Time until the daemon ends its last request.
    answer_seconds : float
        Time that the answer may take after the wait.

    Returns
    -------
    float

    Examples
    --------
    >>> bound_wait(1.0, seconds_left=6.0, answer_seconds=0.6)
    1.0
    >>> bound_wait(1.0, seconds_left=0.5, answer_seconds=0.6)
    0.0
    """
    return max(0.0, min(wait, seconds_left - answer_seconds))
