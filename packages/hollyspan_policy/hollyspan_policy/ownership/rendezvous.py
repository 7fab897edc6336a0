"""Rendezvous hashing of duties onto instances."""

from ..hashing import hash_parts

__all__ = ["choose_owner", "rank_owners"]


def rank_owners(duty, instances):
    """Order instances by their weight for a duty.

    Parameters
    ----------
    duty : str
        Name of the owned object, for example an upstream.
    instances : iterable of str
        Names of the live instances.

    Returns
    -------
    list of str
        Instances in descending order of weight; the first is the owner.

    Notes
    -----
    Highest random weight hashing [1]_: when an instance is removed, only its
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
    """Return the instance that owns a duty.

    Parameters
    ----------
    duty : str
        Name of the owned object.
    instances : iterable of str
        Names of the live instances.

    Returns
    -------
    str or None
        None without instances.
    """
    return max(
        instances,
        key=lambda name: (hash_parts(duty, name), name),
        default=None,
    )
