"""Decision whether a request waits at the gateway or at an upstream."""

from ..routing import estimate_wait
from .room import has_free_slot

__all__ = ["must_hold"]

# Typical time from sending a request to its first event at a busy upstream.
FIRST_EVENT_DELAY_S = 0.06
# A request with less time left is sent whatever the load. The time covers a
# whole run and the longest wait in the queue that other requests leave behind.
MIN_SECONDS_LEFT_TO_HOLD = 2.0


def must_hold(views, *, service_seconds, seconds_to_target, seconds_left):
    """Decide whether to hold a request instead of queueing it upstream.

    Parameters
    ----------
    views : list of UpstreamView
        Upstreams that could serve the request.
    service_seconds : float
        Mean time for which an online request holds a slot, seconds.
    seconds_to_target : float
        Time left until the target time for the start of the answer; negative
        once it has passed.
    seconds_left : float
        Time left until the request's deadline.

    Returns
    -------
    bool
        True while the answer would start after the target and no slot is
        free. Slots of batch work count as free, since batch work yields. A
        request that cannot start before its deadline is not held but
        refused, see `decide_admission`.

    Notes
    -----
    Load pattern: waves that exceed the capacity of all upstreams for some
    seconds. Upstreams serve in order of arrival. Once their queues are longer
    than the target, every further request of the wave starts late, including
    requests that arrive after its peak. A request that is late anyway is
    therefore held until a slot is free that no other request needs. Then only
    as many requests are late as exceed the capacity, in order of arrival. The
    same rule applies to late items of jobs, see
    `hollyspan_policy.batch.rank_item`.

    Examples
    --------
    >>> from hollyspan_policy.routing import UpstreamView
    >>> full = UpstreamView(name="u", data_centre="d", slots=8, online=14)
    >>> must_hold(
    ...     [full],
    ...     service_seconds=0.7,
    ...     seconds_to_target=0.3,
    ...     seconds_left=5.0,
    ... )
    True
    """
    if seconds_left <= MIN_SECONDS_LEFT_TO_HOLD:
        return False
    usable = [view for view in views if view.serving]
    if not usable:
        return False
    if has_free_slot(usable):
        return False
    expected_wait = min(
        estimate_wait(view, service_seconds=service_seconds) for view in usable
    )
    return (
        seconds_to_target < expected_wait + FIRST_EVENT_DELAY_S < seconds_left
    )
