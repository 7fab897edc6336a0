"""Choice of the software version at which streams begin."""

__all__ = ["find_scarce_versions"]

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
