"""Choice of the software version at which work begins or goes on."""

__all__ = ["find_scarce_versions", "must_start_over"]

# Upstreams of a version with which a stream can go on when one of them ends.
MIN_UPSTREAMS = 2


def find_scarce_versions(counts):
    """Return the versions at which a stream could not go on after a failure.

    Parameters
    ----------
    counts : dict
        Number of upstreams of a service that accept new work, by version.

    Returns
    -------
    set of int
        Empty if all versions are alike in this.

    Notes
    -----
    Load pattern: a release replaces upstreams one after the other, and the
    last of the old and the first of the new version serve alone.

    Examples
    --------
    >>> find_scarce_versions({1: 4, 2: 1})
    {2}
    >>> find_scarce_versions({1: 1, 2: 1})
    set()
    """
    scarce = {
        version for version, count in counts.items() if count < MIN_UPSTREAMS
    }
    return scarce if len(scarce) < len(counts) else set()


def must_start_over(*, waited, rewrite_seconds):
    """Return whether to drop a text rather than wait for its version.

    Parameters
    ----------
    waited : float
        Time for which no upstream of the version has had a place, seconds.
    rewrite_seconds : float
        Time that it takes to write the text again.

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: items are preempted in waves while two versions serve, and
    places become free at the other one. The ski-rental rule [1]_: waiting and
    writing again together take at most twice the shorter of the two.

    References
    ----------
    .. [1] A. Karlin, M. Manasse, L. Rudolph, D. Sleator, "Competitive snoopy
       caching", Algorithmica 3, 1988.

    Examples
    --------
    >>> must_start_over(waited=1.0, rewrite_seconds=2.5)
    False
    """
    return waited >= rewrite_seconds
