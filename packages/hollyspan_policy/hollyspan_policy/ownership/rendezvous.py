"""Rendezvous hashing of duties over daemons."""

from ..hashing import hash_parts

__all__ = ["choose_owner", "rank_owners"]


def rank_owners(duty, instances):
    """Order instances by their weight for a duty.

    Parameters
    ----------
    duty : str
        Name of what is owned, for example an upstream.
    instances : iterable of str
        Names of the live instances.

    Returns
    -------
    list of str
        The owner first.

    Notes
    -----
    Highest random weight hashing [1]_: when an instance goes, only its
    own duties move.

    References
    ----------
    .. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase
       hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.

    Examples
    --------
    >>> rank_owners("engine-1", ["a"])
    ['a']
    """
    return sorted(
        instances,
        key=lambda name: (hash_parts(duty, name), name),
        reverse=True,
    )


def choose_owner(duty, instances):
    """Return the instance that owns a duty, or None without instances.

    Parameters
    ----------
    duty : str
    instances : iterable of str

    Returns
    -------
    str or None
    """
    return max(
        instances,
        key=lambda name: (hash_parts(duty, name), name),
        default=None,
    )
