"""Verdicts on the times of an upstream, against its peers and its past."""

import enum

__all__ = ["Verdict", "judge_first_event", "judge_pause"]

# Up to this multiple of what is typical, an answer counts as in time.
TOLERANCE = 2.0
# Up to this multiple of the best time since its start, an upstream that is
# slower than its peers does not slow down with the number of its requests.
STEADY_TOLERANCE = 1.25
# Share of the longest pause that callers accept from which a pause may count
# as late: a second one as long would be too long.
PAUSE_SHARE = 0.5


class Verdict(enum.Enum):
    """What the time of an answer says of its upstream."""

    # No later than at its peers, or at itself before.
    IN_TIME = "in_time"
    # Later than at its peers, in time for the caller, and no later than with
    # fewer requests in flight.
    STEADY = "steady"
    LATE = "late"
    # It was refused, since the upstream had no room.
    REFUSED = "refused"
    # It was answered wrongly.
    FAILED = "failed"


def judge_first_event(elapsed, *, typical, best, target):
    """Judge the time to the first event of an answer.

    Parameters
    ----------
    elapsed : float
        Seconds.
    typical : float or None
        Typical time of the upstream's peers, or of itself before if that is
        longer; None if neither is known.
    best : float or None
        Shortest time since the upstream has started or recovered.
    target : float or None
        Time within which the caller expects the first event; None when the
        request has no caller who waits for it.

    Returns
    -------
    Verdict

    Notes
    -----
    Load pattern: an upstream with cold caches, whose first answers take a
    multiple of the usual time and the longer the more of them run.

    Examples
    --------
    >>> judge_first_event(0.05, typical=0.04, best=None, target=0.3)
    <Verdict.IN_TIME: 'in_time'>
    >>> judge_first_event(0.2, typical=0.04, best=0.18, target=0.3)
    <Verdict.STEADY: 'steady'>
    >>> judge_first_event(0.4, typical=0.04, best=0.18, target=0.3)
    <Verdict.LATE: 'late'>
    """
    is_early_enough = target is None or elapsed <= target
    if typical is None:
        return Verdict.IN_TIME if is_early_enough else Verdict.LATE
    if elapsed <= TOLERANCE * typical:
        return Verdict.IN_TIME
    is_steady = best is not None and elapsed <= STEADY_TOLERANCE * best
    return Verdict.STEADY if is_steady and is_early_enough else Verdict.LATE


def judge_pause(pause, *, typical, longest):
    """Judge the time between two events of an answer.

    Parameters
    ----------
    pause : float
        Seconds.
    typical : float or None
        Typical pause at the upstream's peers, or at itself before if that is
        longer; None if neither is known.
    longest : float or None
        Longest pause that the caller accepts; None without a caller who waits
        for events.

    Returns
    -------
    Verdict or None
        LATE, or None for a pause that says nothing.
    """
    if typical is None or pause <= TOLERANCE * typical:
        return None
    if longest is not None and pause <= PAUSE_SHARE * longest:
        return None
    return Verdict.LATE
