"""Decision which parts of prompts to block."""

__all__ = ["choose_blocks", "list_implicated_parts", "narrow_block"]

# Ends of upstreams with a part from which on requests with it are blocked.
MIN_ENDS = 3
# The same while other parts explain the ends as well: the next end tells more.
MIN_AMBIGUOUS_ENDS = 5
# Ends from which on gateways tell each other of survivals.
MIN_IMPLICATED_ENDS = 2
# An end does not count against a part that an upstream has survived later, or
# shortly before: upstreams that are lost together end in the midst of requests
# with the most usual parts.
SURVIVAL_VALIDITY_S = 2.0


def choose_blocks(ends, *, survivals, blocked=()):
    """Choose the parts to block.

    Parameters
    ----------
    ends : list of EndRecord
    survivals : dict
        Time of the last survival by part.
    blocked : iterable of frozenset of int, optional
        Parts that are blocked already; the ends that they explain do not
        count against others.

    Returns
    -------
    list of frozenset of int
        Each a set of parts that no prompt may contain together. Parts that
        were in the same requests at each end cannot be told apart, so that
        only their combination is blocked.

    Notes
    -----
    Load pattern: among the usual requests come some with one part that ends
    each upstream which begins to answer them, a "query of death" [1]_. All
    requests in flight there fail beside it, are sent again and may be in
    flight at the next end too. The parts are chosen as in a greedy cover of
    the ends [2]_: the part with the most ends explains these, and the others
    must be explained without them.

    References
    ----------
    .. [1] B. Beyer and others, "Site Reliability Engineering", O'Reilly 2016,
       chapter 22.
    .. [2] V. Chvatal, "A greedy heuristic for the set-covering problem",
       Mathematics of Operations Research 4(3), 1979.

    Examples
    --------
    >>> from hollyspan_policy.crashes import EndRecord
    >>> ends = [EndRecord(at=float(at)) for at in range(3)]
    >>> for end, other in zip(ends, (7, 8, 9)):
    ...     end.requests = {(1, 2), (1, other)}
    >>> choose_blocks(ends, survivals={1: 2.5})
    [frozenset({2})]
    """
    chosen = []
    explained_by = list(blocked)
    while True:
        groups = group_parts(list_unexplained(ends, explained_by), survivals)
        best = choose_best_groups(groups)
        if not best:
            return chosen
        chosen += best
        explained_by += best


def narrow_block(parts, *, at, survivals):
    """Return the parts of a block that no upstream has survived.

    Parameters
    ----------
    parts : frozenset of int
    at : float
        Time of the block, seconds.
    survivals : dict
        Time of the last survival by part, also in prompts without the others.

    Returns
    -------
    frozenset of int
        All of them if upstreams have survived each one by itself: their
        combination may end upstreams nevertheless.

    Examples
    --------
    >>> narrow_block(frozenset({1, 2}), at=10.0, survivals={1: 11.0})
    frozenset({2})
    """
    narrower = frozenset(
        part
        for part in parts
        if not has_survived(part, at=at, survivals=survivals)
    )
    return narrower or parts


def has_survived(part, *, at, survivals):
    """Return whether an upstream has survived a part after a time."""
    survived_at = survivals.get(part)
    return survived_at is not None and survived_at + SURVIVAL_VALIDITY_S >= at


def list_implicated_parts(ends, *, survivals, blocked=()):
    """Return the parts that are close to being blocked.

    Parameters
    ----------
    ends, survivals, blocked
        As for `choose_blocks`.

    Returns
    -------
    set of int
    """
    groups = group_parts(list_unexplained(ends, blocked), survivals)
    return {
        part
        for occurrences, parts in groups.items()
        if len(list_ends(occurrences)) >= MIN_IMPLICATED_ENDS
        for part in parts
    }


def list_unexplained(ends, blocked):
    """Return the ends at which no request with blocked parts was in flight."""
    return [
        end
        for end in ends
        if not any(
            parts <= set(request)
            for request in end.requests
            for parts in blocked
        )
    ]


def group_parts(ends, survivals):
    """Group the parts that cannot be told apart.

    Returns
    -------
    dict
        Set of parts by their occurrences, a frozenset of (number of the end,
        request).
    """
    occurrences = {}
    for number, end in enumerate(ends):
        for request in end.requests:
            for part in request:
                if not has_survived(part, at=end.at, survivals=survivals):
                    occurrences.setdefault(part, set()).add((number, request))
    groups = {}
    for part, found in occurrences.items():
        groups.setdefault(frozenset(found), set()).add(part)
    return groups


def choose_best_groups(groups):
    """Return the groups with the most ends if these suffice for a block."""
    most = max((len(list_ends(each)) for each in groups), default=0)
    if most < MIN_ENDS:
        return []
    best = [each for each in groups if len(list_ends(each)) == most]
    # Of two groups that explain the same ends, the one whose requests are
    # among the other's is the narrower explanation.
    best = [each for each in best if not any(other < each for other in best)]
    return [
        frozenset(groups[each])
        for each in best
        if most >= MIN_AMBIGUOUS_ENDS or not is_ambiguous(each, best)
    ]


def is_ambiguous(group, others):
    """Return whether another group explains one of the ends as well."""
    ends = list_ends(group)
    return any(
        other != group and not ends.isdisjoint(list_ends(other))
        for other in others
    )


def list_ends(occurrences):
    """Return the numbers of the ends among occurrences."""
    return {number for number, _ in occurrences}
