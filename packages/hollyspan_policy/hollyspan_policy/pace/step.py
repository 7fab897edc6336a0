"""Choice of an upstream's next pace from one answer."""

from .verdict import Verdict

__all__ = ["MIN_PACE", "choose_pace"]

# Requests in flight that an upstream always gets: without one, nothing would
# show that it has recovered.
MIN_PACE = 1
GROWTH = 2


def choose_pace(record, answer):
    """Return the requests that may be in flight after an answer.

    Parameters
    ----------
    record : PaceRecord
        The requests that were allowed when the request was sent, among others.
    answer : PaceAnswer

    Returns
    -------
    int
        At least one.

    Notes
    -----
    Load pattern: a wave that begins just after a start. Doubling reaches the
    slots of an upstream within a few answers; a linear increase needs one for
    each slot. What counts is the number that was in flight, so that a pace
    does not grow on answers to single requests in calm times, and a wave that
    follows is not sent to an upstream that has never shown to bear it [1]_.

    References
    ----------
    .. [1] M. Handley, J. Padhye, S. Floyd, "TCP congestion window
       validation", RFC 2861, 2000.
    """
    allowed, verdict = record.allowed, answer.verdict
    if verdict is Verdict.IN_TIME:
        return max(allowed, GROWTH * answer.in_flight)
    if verdict is Verdict.STEADY:
        return max(allowed, answer.in_flight + 1)
    if verdict is Verdict.FAILED:
        return MIN_PACE
    return max(MIN_PACE, allowed // GROWTH)
