"""Decisions on runs whose upstream is silent."""

__all__ = [
    "MAX_STILL_S",
    "must_leave_silence",
    "pays_to_move",
    "speaks_against_text",
]

# Time after which an upstream that is not heard does not just stand still.
MAX_STILL_S = 2.5
# Silence of one run that load does not explain at an upstream that answers
# others.
MAX_BUSY_S = 1.0


def must_leave_silence(
    *, quiet_seconds, is_silent_link, has_follower, is_ended
):
    """Return whether a silent run is broken off, whatever room there is.

    Parameters
    ----------
    quiet_seconds : float
        Time since its last bytes.
    is_silent_link : bool
        Whether the silence is that of the daemon's link: others hear the
        upstream.
    has_follower : bool
        Whether another daemon can go on with the run.
    is_ended : bool
        Whether the upstream's process is known to have ended.

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: sound upstreams, up to all of them, stand still for a second
    or so and go on, while their slots are full. A run that is broken off
    loses its place, and waits for another one behind all that wait already.
    An upstream that hangs for ever costs its runs the bound once.

    Examples
    --------
    >>> must_leave_silence(
    ...     quiet_seconds=1.3,
    ...     is_silent_link=False,
    ...     has_follower=True,
    ...     is_ended=False,
    ... )
    False
    """
    return (
        is_ended
        or (is_silent_link and has_follower)
        or quiet_seconds >= MAX_STILL_S
    )


def pays_to_move(
    *, quiet_seconds, is_upstream_heard, move_seconds, slack_seconds
):
    """Return whether a silent run should go on at a free place elsewhere.

    Parameters
    ----------
    quiet_seconds : float
        Time since its last bytes.
    is_upstream_heard : bool
        Whether the upstream has brought other bytes meanwhile.
    move_seconds : float
        Expected time until the first event at another upstream.
    slack_seconds : float
        Time left until the run is due beyond what it needs without a
        silence; negative for one that is late.

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: some upstreams stand still for a second or so, or hang, and
    others have room. How long it lasts is not known, so that the ski-rental
    rule [1]_ decides: the run moves once it has waited for as long as the
    move takes. It moves sooner if it is in time after a move, but perhaps
    not after the rest of the silence.

    References
    ----------
    .. [1] A. Karlin, M. Manasse, L. Rudolph, D. Sleator, "Competitive snoopy
       caching", Algorithmica 3, 1988.

    Examples
    --------
    >>> pays_to_move(
    ...     quiet_seconds=0.5,
    ...     is_upstream_heard=False,
    ...     move_seconds=0.8,
    ...     slack_seconds=9.0,
    ... )
    False
    >>> pays_to_move(
    ...     quiet_seconds=0.5,
    ...     is_upstream_heard=False,
    ...     move_seconds=0.8,
    ...     slack_seconds=1.2,
    ... )
    True
    """
    if is_upstream_heard:
        return quiet_seconds >= MAX_BUSY_S
    rest_seconds = MAX_STILL_S - quiet_seconds
    return (
        quiet_seconds >= move_seconds
        or move_seconds <= slack_seconds < rest_seconds
    )


def speaks_against_text(*, is_upstream_heard, is_first_there, has_other):
    """Return whether a silent run without an event counts for its text.

    Parameters
    ----------
    is_upstream_heard : bool
        Whether the upstream has brought other bytes meanwhile.
    is_first_there : bool
        Whether no earlier run of the text has counted there, since its last
        event.
    has_other : bool
        Whether another upstream is heard that can go on with the text.

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: one upstream hangs for ever while all others are full, so
    that its places are the only free ones, and items start there again and
    again. A text at which upstreams hang falls silent at one after the other.

    Examples
    --------
    >>> speaks_against_text(
    ...     is_upstream_heard=False, is_first_there=False, has_other=True
    ... )
    False
    """
    return is_upstream_heard or is_first_there or not has_other
