"""Choice of the keys that explain ends of upstreams best."""

__all__ = [
    "MIN_AMBIGUOUS_ENDS",
    "MIN_ENDS",
    "choose_best_groups",
    "is_explained_by",
    "list_independent_groups",
]

# Ends of upstreams with a key from which on requests with it are blocked.
MIN_ENDS = 3
# The same while other keys explain the ends as well: the next end tells more.
MIN_AMBIGUOUS_ENDS = 5


def choose_best_groups(groups):
    """Choose the groups with the most ends if these suffice for a block.

    Parameters
    ----------
    groups : list of KeyGroup

    Returns
    -------
    list of KeyGroup
        Empty while the ends leave open which group explains them.

    Notes
    -----
    Load pattern: a request with a fatal part is sent to several upstreams one
    after the other, and sound requests that run beside follow it there. All
    of them leave ends against their own parts and those that all share.
    """
    groups = list_independent_groups(groups)
    most = max((group.count for group in groups), default=0)
    best = [group for group in groups if group.count == most]
    # Of two groups that explain the same ends, the one whose requests are
    # among the other's is the narrower explanation.
    best = [
        group
        for group in best
        if not any(other.occurrences < group.occurrences for other in best)
    ]
    chosen = [
        group
        for group in best
        if (most >= MIN_AMBIGUOUS_ENDS or not is_ambiguous(group, best))
        and not has_rival(group, groups)
    ]
    return chosen or choose_wider_groups(groups, best)


def list_independent_groups(groups):
    """List the groups with ends enough that no narrower group explains.

    Notes
    -----
    A group is narrower if its requests are among the other's. A part that all
    prompts share has the ends of a part that ends upstreams against it, too,
    and more requests that ran beside; a few ends of another cause must not
    make it the better explanation.
    """
    groups = [group for group in groups if group.count >= MIN_ENDS]
    return [
        group
        for group in groups
        if not any(is_explained_by(group, other) for other in groups)
    ]


def is_explained_by(group, other):
    """Return whether a narrower group leaves too few ends for a block."""
    if not other.occurrences < group.occurrences:
        return False
    unexplained = len(group.causes - other.causes)
    # Ends of one request are limited in the count already.
    return unexplained < (1 if other.is_request else MIN_ENDS)


def has_rival(group, others):
    """Return whether another group may explain a group's ends better.

    Notes
    -----
    Two requests with a part that ends upstreams, each sent to several of
    them, count less against it than different requests that ran beside do
    against another part. Such groups are told apart by the next end.
    """
    limit = min(group.count, MIN_AMBIGUOUS_ENDS)
    return any(
        other.causes > group.causes
        or (other.causes == group.causes and other.count < limit)
        for other in others
        if not other.occurrences > group.occurrences
    )


def choose_wider_groups(groups, ambiguous):
    """Return the group that explains what several others do, and more.

    Parameters
    ----------
    groups : list of KeyGroup
    ambiguous : list of KeyGroup
        Those with the most ends, each of which explains these as well.

    Returns
    -------
    list of KeyGroup
        Empty unless one group is the only such explanation.

    Notes
    -----
    A part that two requests share has fewer ends against it than each request
    by itself, but explains the ends of both.
    """
    wider = [
        group
        for group in groups
        if group.count >= MIN_ENDS
        and all(group.causes > other.causes for other in ambiguous)
    ]
    return wider if len(wider) == 1 else []


def is_ambiguous(group, others):
    """Return whether another group explains one of the ends as well."""
    return any(
        other is not group and not group.causes.isdisjoint(other.causes)
        for other in others
    )
