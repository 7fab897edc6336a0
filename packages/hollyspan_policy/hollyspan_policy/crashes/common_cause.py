"""Ends of upstreams that have the same cause."""

import collections
import itertools

__all__ = ["has_common_cause", "list_excused_keys", "list_moment"]

# Time in which ends of one cause are noticed one after the other.
MOMENT_S = 0.1


def has_common_cause(keys, end, ends, *, blocked=()):
    """Return whether upstreams without some keys ended at the same moment.

    Parameters
    ----------
    keys : frozenset of int
    end : EndRecord
        That of an upstream with these keys in flight.
    ends : iterable of EndRecord
        All that are known, those that do not count yet among them.
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

    Moments are not chained: ends of one request that is sent on from one
    upstream to the next would be of one moment with an end of another cause.

    Examples
    --------
    >>> from hollyspan_policy.crashes import EndRecord
    >>> ends = [EndRecord(at=at) for at in (5.0, 5.05, 9.0)]
    >>> for end, part in zip(ends, (1, 2, 1)):
    ...     end.requests = {(part,)}
    >>> [has_common_cause(frozenset({1}), end, ends) for end in ends[::2]]
    [True, False]
    """
    moment = list_moment(end, ends)
    count = sum(
        not other.has_unread and not is_explained(other, [keys, *blocked])
        for other in moment
    )
    return count > count_unattributed(moment)


def count_unattributed(moment):
    """Count the ends whose upstream may be that of another end.

    Notes
    -----
    Load pattern: upstreams restart and end again within seconds, and some
    gateways still know them as they were before. Their reports name the
    earlier one, so that its successor seems to end without their requests.
    """
    return sum(end.has_unread and not end.requests for end in moment)


def list_moment(end, ends):
    """List the other ends at the same moment as one.

    Parameters
    ----------
    end : EndRecord
    ends : iterable of EndRecord

    Returns
    -------
    list of EndRecord
    """
    return [
        other
        for other in ends
        if other is not end and abs(other.at - end.at) <= MOMENT_S
    ]


def list_excused_keys(ends, moments, *, blocked=(), rivals=()):
    """List the keys for which each end has a common cause.

    Parameters
    ----------
    ends : list of EndRecord
    moments : list of list of EndRecord
        Other ends at the moment of each one; may be empty.
    blocked : collection of frozenset of int, optional
        As for `has_common_cause`.
    rivals : collection of frozenset of int, optional
        Keys that explain ends, though not for each other.

    Returns
    -------
    list of set of int
    """
    keys = {}
    for end in itertools.chain(ends, *moments):
        if id(end) not in keys:
            keys[id(end)] = frozenset().union(*end.requests)

    def list_explaining(end, blocks):
        return [
            block
            for block in blocks
            if block <= keys[id(end)] and is_explained(end, [block])
        ]

    rivals_of = {
        id(end): list_explaining(end, rivals)
        for end in itertools.chain(*moments)
        if not end.has_unread and not list_explaining(end, blocked)
    }
    excused = [set() for _ in ends]
    for end, moment, found in zip(ends, moments, excused):
        counts = collections.Counter()
        for other in moment:
            if id(other) not in rivals_of:
                continue
            absent = keys[id(end)] - keys[id(other)]
            for block in rivals_of[id(other)]:
                absent &= block
            counts.update(absent)
        limit = count_unattributed(moment)
        found |= {key for key, count in counts.items() if count > limit}
    return excused


def is_explained(end, blocks):
    """Return whether a request with some block's keys was in flight."""
    return any(
        block.issubset(request) for block in blocks for request in end.requests
    )
