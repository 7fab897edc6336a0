"""Parts of prompts that come with a blocked one."""

__all__ = ["is_untested", "list_companions"]


def list_companions(keys, ends, *, survivals):
    """List the parts that may have caused the ends with a block's keys.

    Parameters
    ----------
    keys : frozenset of int
        Those of a block.
    ends : list of EndRecord
    survivals : dict
        Time of the last survival by key.

    Returns
    -------
    list of int
        Parts that were in all requests with the keys, and those of the keys
        that are parts, if no upstream has ever survived them.

    Notes
    -----
    Load pattern: the items of a job share a part of their own and one with
    other jobs, and one of the two ends upstreams. With a block of the part of
    their own alone, or of both together, the items of each further job end
    some more before it is blocked. Each part is blocked by itself; a trial
    frees the sound one.

    Examples
    --------
    >>> from hollyspan_policy.crashes import EndRecord
    >>> ends = [EndRecord(at=float(at)) for at in range(3)]
    >>> for end in ends:
    ...     end.requests = {(1, 2), (3,)}
    >>> list_companions(frozenset({1}), ends, survivals={})
    [2]
    >>> list_companions(frozenset({1}), ends, survivals={2: 0.5})
    []
    """
    with_keys = [
        request
        for end in ends
        for request in end.requests
        if keys.issubset(request)
    ]
    if not with_keys:
        return []
    fingerprints = set().union(*(end.fingerprints for end in ends))
    if keys & fingerprints:
        return []
    common = set.intersection(*map(set, with_keys)) - fingerprints
    if len(keys) == 1:
        common -= keys
    return sorted(
        key for key in common if is_untested(key, ends, survivals=survivals)
    )


def is_untested(key, ends, *, survivals):
    """Return whether a part may be fatal for all that is known of it.

    Parameters
    ----------
    key : int
    ends, survivals
        As for `list_companions`.

    Returns
    -------
    bool
        False as well for a part of all requests: they tell nothing of it.
    """
    return key not in survivals and any(
        key not in request for end in ends for request in end.requests
    )
