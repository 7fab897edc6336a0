"""Times without ends of upstreams for other reasons than given keys."""

import math

from .record import has_request

__all__ = ["find_calm_time", "has_met_losses"]

# Time without ends for other reasons before a trial, doubled after each of
# the first trials that told nothing.
CALM_S = 1.0
MAX_CALM_S = 4.0


def find_calm_time(keys, ends, *, blocked=(), void_trials=0):
    """Return the time from which ends for other reasons postpone no trial.

    Parameters
    ----------
    keys : frozenset of int
        Those of a block.
    ends : iterable of EndRecord
    blocked : iterable of frozenset of int, optional
        Keys of blocks, which explain ends.
    void_trials : int, optional
        Number of trials of the block that told nothing.

    Returns
    -------
    float
        Seconds; minus infinity without such ends.

    Notes
    -----
    Load pattern: upstreams are lost each second or two, and a trial that began
    between two losses has met the next one. A longer time without losses is
    more often the end of them. The gateways take their turns from then on:
    their times may have passed before, so that all would begin at once.
    """
    seconds = min(MAX_CALM_S, CALM_S * 2**void_trials)
    return max(
        (
            end.at + seconds
            for end in ends
            if is_other_end(end, keys, blocked=blocked)
        ),
        default=-math.inf,
    )


def has_met_losses(keys, ends, *, at, blocked=()):
    """Return whether other upstreams ended beside a trial.

    Parameters
    ----------
    keys : frozenset of int
        Those of a block.
    ends : iterable of EndRecord
    at : float
        Time of the trial's verdict.
    blocked : iterable of frozenset of int, optional
        Keys of blocks, which explain ends.
    """
    return has_other_end(
        keys, ends, since=at - CALM_S, until=at + CALM_S, blocked=blocked
    )


def has_other_end(keys, ends, *, since, until, blocked):
    """Return whether an upstream ended in a time for another reason."""
    return any(
        since < end.at <= until and is_other_end(end, keys, blocked=blocked)
        for end in ends
    )


def is_other_end(end, keys, *, blocked):
    """Return whether an upstream ended for another reason than some keys."""
    return not has_request(end, keys) and not any(
        has_request(end, block) for block in blocked
    )
