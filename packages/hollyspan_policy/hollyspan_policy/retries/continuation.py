"""Decisions on requests that may have run and have no final answer yet."""

__all__ = ["may_break_off", "must_continue"]


def may_break_off(*, sends, max_attempts, is_repeatable):
    """Return whether an attempt may be given up while its answer may come.

    Parameters
    ----------
    sends : int
        Attempts that may have run the request, with the current one.
    max_attempts : int
        Number of upstreams at which it may run.
    is_repeatable : bool

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: upstreams stand still for a second, and a daemon takes them
    or its links for lost. Whatever it believes, an attempt that nobody can
    go on with is worth more than none.

    Examples
    --------
    >>> may_break_off(sends=1, max_attempts=2, is_repeatable=True)
    True
    >>> may_break_off(sends=2, max_attempts=2, is_repeatable=True)
    False
    """
    return is_repeatable and sends < max_attempts


def must_continue(
    *,
    sends,
    max_attempts,
    is_repeatable,
    is_owed,
    seconds_left,
    pause_seconds,
):
    """Return whether a request that nobody took is tried once more.

    Parameters
    ----------
    sends, max_attempts, is_repeatable
        See `may_break_off`; no attempt is in flight.
    is_owed : bool
        Whether the client has a part of the answer, or an attempt was given up
        that might have brought it.
    seconds_left : float
        Time until the deadline.
    pause_seconds : float
        Time until the next try.

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: an upstream ends in the midst of an answer while all others
    are full, or open no connection for a second. The client of a request that
    has not run is refused and comes back; this one would get an answer cut
    short, or an unknown outcome for what a sound upstream was about to answer.

    Examples
    --------
    >>> must_continue(
    ...     sends=1,
    ...     max_attempts=2,
    ...     is_repeatable=True,
    ...     is_owed=True,
    ...     seconds_left=2.0,
    ...     pause_seconds=0.1,
    ... )
    True
    """
    return (
        is_owed
        and may_break_off(
            sends=sends,
            max_attempts=max_attempts,
            is_repeatable=is_repeatable,
        )
        and pause_seconds < seconds_left
    )
