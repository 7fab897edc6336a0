"""Ends of upstreams that have the same cause."""

__all__ = ["COMMON_CAUSE_S", "has_common_cause"]

# Time within which ends of upstreams may have the same cause.
COMMON_CAUSE_S = 0.3


def has_common_cause(keys, end, ends, *, blocked=()):
    """Return whether upstreams without some keys ended at the same moment.

    Parameters
    ----------
    keys : frozenset of int
    end : EndRecord
        That of an upstream with these keys in flight.
    ends : iterable of EndRecord
        All that count, and those too new to count.
    blocked : iterable of frozenset of int, optional
        Keys of blocks. The ends that they explain have a cause of their own.

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: a rack is lost, or all upstreams of a version end, and a few
    of them have just been sent the items of a job. What ended the others
    explains these ends as well.

    Ends are not chained: where single upstreams end again and again, all of
    them would be of one moment.

    Examples
    --------
    >>> from hollyspan_policy.crashes import EndRecord
    >>> ends = [EndRecord(at=at) for at in (5.0, 5.1, 9.0)]
    >>> for end, part in zip(ends, (1, 2, 1)):
    ...     end.requests = {(part,)}
    >>> [has_common_cause(frozenset({1}), end, ends) for end in ends[::2]]
    [True, False]
    """
    return any(
        abs(other.at - end.at) <= COMMON_CAUSE_S
        and not has_request(other, keys)
        and not any(has_request(other, block) for block in blocked)
        for other in ends
        if other is not end
    )


def has_request(end, keys):
    """Return whether a request with some keys was in flight at an end."""
    return any(map(keys.issubset, end.requests))
