"""Turns in which the watches of a fleet end, and who asks when none does."""

from ..hashing import hash_parts
from ..workspaces import estimate_age

__all__ = [
    "choose_asking_age",
    "choose_retry_interval",
    "choose_watch_wait",
    "estimate_answer_age",
    "rank_watcher",
]

# Time by which the proof of a turn may be late before a gateway asks: above
# the slowest answers of a store in service.
LATENESS_S = 0.4
# By how much each next gateway asks later, and how many keep this order.
RANK_DELAY_S = 0.15
MAX_ORDERED_ASKERS = 5
# From which lateness on all others ask, and the time over which they do.
LAST_LATENESS_S = 1.2
LAST_SPREAD_S = 1.5
# Time between two calls of one gateway that asks.
RETRY_INTERVAL_S = 1.0


def rank_watcher(identifier, *, name, others):
    """Return how many gateways have their turn before this one.

    Parameters
    ----------
    identifier : str
    name : str
        Name of what is watched; the order is another one for each.
    others : iterable of str
        Identifiers of the other gateways that take turns.

    Returns
    -------
    int

    Examples
    --------
    >>> sorted(
    ...     rank_watcher(each, name="jobs", others={"a", "b", "c"} - {each})
    ...     for each in "abc"
    ... )
    [0, 1, 2]
    """
    own = hash_parts(name, identifier)
    return sum(hash_parts(name, other) > own for other in others)


def choose_watch_wait(
    rank, *, watchers, interval, longest, is_first, peer_ages=()
):
    """Return how long a watch of the store waits for changes.

    Parameters
    ----------
    rank : int
        Gateways that have their turn before this one.
    watchers : int
        Number of gateways that take turns.
    interval : float
        Time between the ends of two watches, seconds.
    longest : float
        Longest wait, seconds.
    is_first : bool
        Whether the watch before this one returned changes, as the watches of
        all others did at this moment.
    peer_ages : iterable of float, optional
        Seconds since the watches of others have ended. For each that has done
        so just before, the next turn is one turn earlier, which moves others
        on until a gap is filled.

    Returns
    -------
    float
        Seconds.

    Notes
    -----
    Load pattern: a fleet that stands still, in which each call is paid for and
    any number of watches may be silent. The end of a watch without changes
    proves what all know, so each adds to it if their ends are spread.

    Examples
    --------
    >>> [
    ...     choose_watch_wait(
    ...         rank, watchers=4, interval=1.5, longest=15.0, is_first=True
    ...     )
    ...     for rank in range(4)
    ... ]
    [1.5, 3.0, 4.5, 6.0]
    >>> choose_watch_wait(
    ...     0, watchers=4, interval=1.5, longest=15.0, is_first=False
    ... )
    6.0
    >>> choose_watch_wait(
    ...     0,
    ...     watchers=4,
    ...     interval=1.5,
    ...     longest=15.0,
    ...     is_first=False,
    ...     peer_ages=[0.1, 1.5],
    ... )
    4.5
    >>> choose_watch_wait(
    ...     0, watchers=60, interval=1.5, longest=15.0, is_first=False
    ... )
    15.0
    """
    round_seconds = min(longest, watchers * interval)
    turn = round_seconds / watchers
    if is_first:
        return turn * (rank + 1)
    sharers = sum(age < turn / 2 for age in peer_ages)
    return turn * max(1, watchers - sharers)


def choose_asking_age(rank, *, interval, chance):
    """Return the age of the newest proof at which a gateway asks the store.

    Parameters
    ----------
    rank : int
        Gateways that ask before this one.
    interval : float
        Time between two proofs when all is well, seconds.
    chance : float
        Random number of the gateway, 0 to 1.

    Returns
    -------
    float
        Seconds.

    Notes
    -----
    Load pattern: the connections of all gateways fall silent at one moment, or
    the messages of those that ask are lost, in a fleet of hundreds. The first
    ones ask one after the other, and the rest at random moments.

    Examples
    --------
    >>> round(choose_asking_age(0, interval=1.2, chance=0.5), 2)
    1.6
    >>> round(choose_asking_age(4, interval=1.2, chance=0.5), 2)
    2.2
    >>> round(choose_asking_age(90, interval=1.2, chance=0.5), 2)
    3.15
    """
    if rank < MAX_ORDERED_ASKERS:
        return interval + LATENESS_S + rank * RANK_DELAY_S
    return interval + LAST_LATENESS_S + chance * LAST_SPREAD_S


def choose_retry_interval(rank):
    """Return the seconds between two calls of one gateway that asks.

    Examples
    --------
    >>> choose_retry_interval(0), choose_retry_interval(90)
    (1.0, 4.0)
    """
    return RETRY_INTERVAL_S * (1 if rank < MAX_ORDERED_ASKERS else 4)


def estimate_answer_age(*, stall):
    """Return the greatest age that an answer can have when it is read.

    Parameters
    ----------
    stall : float
        Time for which the receiver may not have read, seconds.

    Examples
    --------
    >>> estimate_answer_age(stall=0.1)
    0.35
    """
    return estimate_age(0.0, stall=stall)
