"""Decision which requests to block."""

import math

from .common_cause import has_common_cause
from .common_cause import list_excused_keys
from .common_cause import list_moment
from .companions import list_companions
from .explanation import choose_best_groups
from .explanation import is_explained_by
from .explanation import list_independent_groups
from .explanation import MIN_AMBIGUOUS_ENDS
from .explanation import MIN_ENDS
from .group import KeyGroup

__all__ = [
    "choose_blocks",
    "has_ended_upstreams",
    "list_explained_blocks",
    "list_implicated_keys",
    "may_be_coincidence",
    "narrow_block",
]

# Ends from which on gateways tell each other of survivals.
MIN_IMPLICATED_ENDS = 2
# An end does not count against a key that an upstream has survived later, or
# shortly before: upstreams that are lost together end in the midst of requests
# with the most usual parts.
SURVIVAL_VALIDITY_S = 2.0
# Time within which an item that has ended an upstream cannot have ended two
# more, since it waits for half of it after each run.
COMMON_CAUSE_S = 0.3


def choose_blocks(ends, *, survivals, blocked=(), beside=()):
    """Choose the keys to block.

    Parameters
    ----------
    ends : list of EndRecord
    survivals : dict
        Time of the last survival by key.
    blocked : iterable of frozenset of int, optional
        Keys that are blocked already; the ends that they explain do not
        count against others.
    beside : iterable of EndRecord, optional
        Further ends that speak against no key, and do not count yet. They
        tell which of the others have a common cause.

    Returns
    -------
    list of frozenset of int
        Each a set of keys that no request may have together: the fingerprint
        of a request, or parts of prompts. Parts that were in the same
        requests at each end cannot be told apart, so that only their
        combination is blocked, or each one by itself if no upstream has ever
        survived it, see `list_companions`.

    Notes
    -----
    Load pattern: among the usual requests come some with one part, or one
    request again and again, that end each upstream which begins to answer
    them, a "query of death" [1]_. All requests in flight there fail beside
    it, are sent again and may be in flight at the next end too. The keys are
    chosen as in a greedy cover of the ends [2]_: the key with the most ends
    explains these, and the others must be explained without them. A request
    explains its own ends better than its parts do; two blocked requests with
    a part speak against the part.

    An end at the same moment as one without a key does not count against the
    key, see `has_common_cause`. Two parts that end upstreams at the same
    moments would hide each other, as those of two jobs with such parts.
    Where two keys explain all ends, more of them are needed.

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
    chosen = choose_explanations(
        ends, survivals=survivals, blocked=blocked, beside=beside
    )
    return add_companions(chosen, ends, survivals, blocked)


def add_companions(chosen, ends, survivals, blocked):
    """Block the parts by themselves that came with the chosen keys."""
    blocks = {}
    for keys in chosen:
        companions = list_companions(keys, ends, survivals=survivals)
        if not keys.intersection(companions):
            blocks[keys] = None
        blocks |= dict.fromkeys(frozenset((key,)) for key in companions)
    return [keys for keys in blocks if keys not in blocked]


def choose_explanations(ends, *, survivals, blocked, beside):
    """Choose the keys that explain the ends; see `choose_blocks`."""
    moments = [list_moment(end, [*ends, *beside]) for end in ends]
    chosen = cover_ends(ends, survivals, blocked, moments=moments)
    if chosen:
        return chosen
    pair = cover_ends(ends, survivals, blocked)
    if len(pair) != 2:
        return []
    return cover_ends(
        ends,
        survivals,
        blocked,
        moments=moments,
        rivals=pair,
        min_count=MIN_AMBIGUOUS_ENDS,
    )


def cover_ends(
    ends, survivals, blocked, *, moments=(), rivals=(), min_count=MIN_ENDS
):
    """Choose keys that explain the ends, the best first.

    Parameters
    ----------
    ends, survivals, blocked
        As for `choose_blocks`.
    moments, rivals
        As for `group_keys`.
    min_count : float, optional
        Number of ends that must count against the keys.

    Returns
    -------
    list of frozenset of int

    Notes
    -----
    A part that all prompts share is in flight at the ends that excuse a
    narrower one, and is not excused there. It is no better an explanation
    for that, so that narrower groups are compared with all of their ends.
    """
    chosen = [
        block
        for block in choose_repeated(ends, survivals)
        if block not in blocked
    ]
    explained_by = [*blocked, *chosen]
    while True:
        groups = group_keys(ends, survivals, explained_by)
        if moments:
            groups = group_keys(
                ends,
                survivals,
                explained_by,
                moments=moments,
                rivals=rivals,
                keys=set().union(
                    *(group.keys for group in list_independent_groups(groups))
                ),
            )
        groups = [group for group in groups if group.count >= min_count]
        best = [group.block for group in choose_best_groups(groups)]
        if not best:
            return chosen
        chosen += best
        explained_by += best


def may_be_coincidence(keys, ends, *, survivals, beside=()):
    """Return whether the ends with some keys may have another cause.

    Parameters
    ----------
    keys : frozenset of int
        Those of a block.
    ends : list of EndRecord
    survivals : dict
        Time of the last survival by key.
    beside : iterable of EndRecord, optional
        As for `choose_blocks`.

    Returns
    -------
    bool
        True if enough upstreams for a block have ended, but at fewer moments
        that neither a survival refutes nor a common cause explains. False
        where some of the ends are not known.

    Notes
    -----
    Load pattern: a rack is lost, or all upstreams of a version end, when the
    items of a job have just been sent there. The part that they share was in
    flight at each end, and nothing has survived it yet. A job whose part ends
    upstreams, and whose items are sent at once, looks the same. A request
    that was in flight at two of the upstreams was sent to the second one
    after the first had ended.

    Examples
    --------
    >>> from hollyspan_policy.crashes import EndRecord
    >>> ends = [EndRecord(at=at) for at in (5.0, 5.1, 5.2, 9.0, 13.0)]
    >>> for end, request in zip(ends, ((1,), (1, 2), (2,), (1, 2), (2,))):
    ...     end.requests = {request}
    >>> may_be_coincidence(frozenset({1}), ends, survivals={})
    True
    >>> may_be_coincidence(frozenset({2}), ends, survivals={})
    False
    """
    count = moments = 0
    began_at = -math.inf
    fingerprints = set()
    for end in sorted(ends, key=lambda end: end.at):
        requests = list(filter(keys.issubset, end.requests))
        if not requests:
            continue
        count += 1
        if any(
            has_survived(key, at=end.at, survivals=survivals) for key in keys
        ):
            continue
        if has_common_cause(keys, end, [*ends, *beside]):
            continue
        here = end.fingerprints.intersection(set().union(*requests))
        if end.at > began_at + COMMON_CAUSE_S or here & fingerprints:
            moments += 1
            began_at = end.at
            fingerprints = set()
        fingerprints |= here
    return count >= MIN_ENDS > moments


def list_explained_blocks(blocks, ends, *, survivals, blocked=()):
    """List the blocks whose ends other keys explain better.

    Parameters
    ----------
    blocks : collection of frozenset of int
    ends, survivals, blocked
        As for `choose_blocks`.

    Returns
    -------
    list of frozenset of int

    Notes
    -----
    Load pattern: the reports on an end come from all daemons, and some may
    come late to one of them. Without that of a fatal request, what its
    sound neighbours share explains the end, such as a part of all prompts. A
    block that the reports known here would not have led to is dropped, if a
    narrower group explains all ends with its keys: one that it leaves may be
    the work of these keys.

    Examples
    --------
    >>> from hollyspan_policy.crashes import EndRecord
    >>> ends = [EndRecord(at=float(at)) for at in range(3)]
    >>> for end in ends:
    ...     end.requests = {(1, 2), (1, 3 + int(end.at))}
    >>> common, fatal = frozenset({1}), frozenset({2})
    >>> list_explained_blocks(
    ...     [common, fatal], ends, survivals={}, blocked=[fatal]
    ... )
    [frozenset({1})]
    """
    if not blocks:
        return []
    others = [
        group
        for group in (
            gather_group(keys, ends, survivals)
            for keys in {*blocked, *cover_ends(ends, survivals, ())}
        )
        # A part is blocked for more ends than those of one request.
        if not group.is_request and len(group.causes) >= MIN_ENDS
    ]
    chosen = choose_blocks(ends, survivals=survivals)
    explained = []
    for keys in blocks:
        if keys in chosen:
            # It came with another one, see `list_companions`.
            continue
        group = gather_group(keys, ends, survivals)
        # With fewer ends, what the block was decided on is not known here.
        if len(group.causes) >= MIN_ENDS and any(
            is_explained_by(group, other) and other.causes >= group.causes
            for other in others
        ):
            explained.append(keys)
    return explained


def gather_group(keys, ends, survivals):
    """Return the group of given keys, with the requests that have all."""
    return KeyGroup(
        occurrences=frozenset(
            (number, request)
            for number, end in enumerate(ends)
            for request in end.requests
            if keys.issubset(request)
            and not any(
                has_survived(key, at=end.at, survivals=survivals)
                for key in keys
            )
        ),
        keys=keys,
        fingerprints=set().union(*(end.fingerprints for end in ends)),
    )


def narrow_block(keys, *, at, survivals):
    """Return the keys of a block that no upstream has survived.

    Parameters
    ----------
    keys : frozenset of int
    at : float
        Time of the block, seconds.
    survivals : dict
        Time of the last survival by key, also in requests without the others.

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
        key
        for key in keys
        if not has_survived(key, at=at, survivals=survivals)
    )
    return narrower or keys


def has_survived(key, *, at, survivals):
    """Return whether an upstream has survived a key after a time."""
    survived_at = survivals.get(key)
    return survived_at is not None and survived_at + SURVIVAL_VALIDITY_S >= at


def has_ended_upstreams(fingerprint, ends, *, survivals, before):
    """Return whether a request may have ended upstreams as it came earlier.

    Parameters
    ----------
    fingerprint : int
    ends : list of EndRecord
    survivals : dict
        Time of the last survival by key.
    before : float
        Time at which the request came again, seconds.

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: a request that ends upstreams comes again while another one,
    which ran beside it, explains its ends as well. Within some hundredths of
    a second it would be sent to several more, before a decision can be made.

    Examples
    --------
    >>> from hollyspan_policy.crashes import EndRecord
    >>> ends = [EndRecord(at=float(at)) for at in range(3)]
    >>> for end in ends:
    ...     end.fingerprints = {7, 8}
    >>> has_ended_upstreams(7, ends, survivals={}, before=5.0)
    True
    >>> has_ended_upstreams(7, ends, survivals={7: 3.0}, before=5.0)
    False
    """
    count = sum(
        fingerprint in end.fingerprints
        and end.at < before
        and not has_survived(fingerprint, at=end.at, survivals=survivals)
        for end in ends
    )
    return count >= MIN_ENDS


def list_implicated_keys(ends, *, survivals, blocked=()):
    """Return the keys that are close to being blocked.

    Parameters
    ----------
    ends, survivals, blocked
        As for `choose_blocks`.

    Returns
    -------
    set of int
    """
    return {
        key
        for group in group_keys(ends, survivals, blocked)
        if group.count >= MIN_IMPLICATED_ENDS
        for key in group.keys
    }


def choose_repeated(ends, survivals):
    """Choose the requests with so many ends that no other explanation counts.

    Notes
    -----
    Ends that a blocked key explains count here, too: several requests that
    end upstreams at the same time, some of them in flight together, would
    explain each other's ends.
    """
    counts = {}
    for end in ends:
        for key in end.fingerprints:
            if not has_survived(key, at=end.at, survivals=survivals):
                counts[key] = counts.get(key, 0) + 1
    return [
        frozenset((key,))
        for key, count in counts.items()
        if count >= MIN_AMBIGUOUS_ENDS
    ]


def group_keys(
    ends, survivals, explained_by, *, moments=(), rivals=(), keys=None
):
    """Group the keys that cannot be told apart.

    Parameters
    ----------
    ends, survivals
        As for `choose_blocks`.
    explained_by : collection of frozenset of int
        Keys whose ends do not count against others.
    moments, rivals : optional
        As for `list_excused_keys`. Without moments all ends count.
    keys : set of int, optional
        Those to group; all by default.

    Returns
    -------
    list of KeyGroup
    """
    fingerprints = set().union(*(end.fingerprints for end in ends))
    excused = list_excused_keys(
        ends, moments, blocked=explained_by, rivals=rivals
    )
    occurrences = {}
    for number, end in enumerate(ends):
        for cause, request in list_causes(number, end, explained_by):
            for key in request:
                if keys is not None and key not in keys:
                    continue
                if has_survived(key, at=end.at, survivals=survivals):
                    continue
                if cause == number and key in excused[number]:
                    continue
                occurrences.setdefault(key, set()).add((cause, request))
    groups = {}
    for key, found in occurrences.items():
        groups.setdefault(frozenset(found), set()).add(key)
    return [
        KeyGroup(occurrences=found, keys=grouped, fingerprints=fingerprints)
        for found, grouped in groups.items()
    ]


def list_causes(number, end, explained_by):
    """Return the possible causes of an end and the requests of each.

    Returns
    -------
    list of (int or frozenset of int, tuple of int)
        The end's number and each request in flight. Only the requests that
        are blocked by themselves if there are some, with their blocks, since
        a part of their prompts may be behind them; none if blocked parts
        explain the end.
    """
    causes = []
    for request in end.requests:
        for block in explained_by:
            if not block.issubset(request):
                continue
            if not block <= end.fingerprints:
                return []
            causes.append((block, request))
    return causes or [(number, request) for request in end.requests]
