"""Whether a failure tells of an upstream or of the daemon's own link to it."""

__all__ = ["has_lost_links", "is_link_lost", "is_only_silent_here"]

# One upstream that fails says nothing about the others.
MIN_FAILED_UPSTREAMS = 2
# Several times the interval between events of one stream.
MIN_QUIET_S = 0.15


def has_lost_links(*, failed, quiet_seconds):
    """Return whether a daemon has probably lost its links to all upstreams.

    Parameters
    ----------
    failed : int
        Number of upstreams at which attempts have failed since the last byte
        from any upstream.
    quiet_seconds : float
        Time for which nothing has arrived from any upstream, while an attempt
        waited that has now failed.

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: a daemon is cut off from all upstreams, whose connections
    hang, are reset or refused, and its next requests come within
    milliseconds. The first failures have to show it: each further upstream
    that is tried costs a request a timeout. A wrong answer costs little, since
    another daemon then runs the request and the first byte from an upstream,
    or the first probe, corrects it.

    Examples
    --------
    >>> has_lost_links(failed=1, quiet_seconds=0.01)
    False
    >>> has_lost_links(failed=2, quiet_seconds=0.01)
    True
    >>> has_lost_links(failed=1, quiet_seconds=0.25)
    True
    """
    if failed >= MIN_FAILED_UPSTREAMS:
        return True
    return failed > 0 and quiet_seconds >= MIN_QUIET_S


def is_link_lost(*, failed_at, alive_at):
    """Return whether a failure tells of the link and not of the upstream.

    Parameters
    ----------
    failed_at : float or None
        Time of the first failure since the link last worked, None without
        one.
    alive_at : float
        Time at which the upstream was last known to be alive: it answered
        another daemon, or sent bytes on an older connection.

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: one upstream in a hundred ends, and a link is lost now and
    then. An upstream that has ended answers nobody. An indirect answer tells
    the two apart, as in SWIM [1]_.

    References
    ----------
    .. [1] A. Das, I. Gupta, A. Motivala, "SWIM: scalable weakly-consistent
       infection-style process group membership protocol", DSN 2002.

    Examples
    --------
    >>> is_link_lost(failed_at=2.0, alive_at=2.1)
    True
    >>> is_link_lost(failed_at=2.0, alive_at=1.9)
    False
    """
    return failed_at is not None and alive_at > failed_at


def is_only_silent_here(*, quiet_since, answered_elsewhere_at):
    """Return whether a silence is that of the link and not of the upstream.

    Parameters
    ----------
    quiet_since : float
        Time since which a daemon has heard nothing.
    answered_elsewhere_at : float
        Time at which the upstream last answered another daemon.

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: sound upstreams, all or most of them, stand still for a
    second and go on. Each daemon hears nothing then, and a connection that
    cannot be opened tells no more. Only an answer that another daemon gets
    meanwhile does. One that was on its way when the silence began does not.

    Examples
    --------
    >>> is_only_silent_here(quiet_since=2.0, answered_elsewhere_at=2.2)
    True
    >>> is_only_silent_here(quiet_since=2.0, answered_elsewhere_at=2.1)
    False
    """
    return answered_elsewhere_at > quiet_since + MIN_QUIET_S
