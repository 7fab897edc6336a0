"""Decision whether a request waits at the daemon or at an upstream."""

from ..routing import estimate_wait

__all__ = ["must_hold"]

# Usual time from a send to the first event at a busy upstream, seconds.
FIRST_EVENT_S = 0.06
# Seconds before the end of a request's time at which it is sent whatever the
# load: a whole run, and the longest wait in a queue that others leave behind.
LAST_CHANCE_S = 2.0


def must_hold(views, *, service_seconds, seconds_to_aim, seconds_left):
    """Decide whether a new request is kept from the upstreams' queues.

    Parameters
    ----------
    views : list of UpstreamView
        The upstreams that could serve it.
    service_seconds : float
        Mean time that an online request holds a slot, seconds.
    seconds_to_aim : float
        Time left in which its answer begins as it should; negative when that
        time is over.
    seconds_left : float
        Time left in which its answer is of use.

    Returns
    -------
    bool
        True while it would begin late and no slot is free for it. Batch work
        gives way, so its slots are free. What cannot begin in its time at
        all is not held but refused, see `decide_admission`.

    Notes
    -----
    Load pattern: waves above the capacity of all upstreams for some seconds.
    Upstreams serve in order of arrival, so that once the wait is longer than
    the aim each request of the wave begins late, also those that come when the
    worst is over. One that is late anyway takes a slot that nobody else needs
    instead: then only as many are late as the wave exceeds the capacity, in
    the order of their arrival. The rule for late items of jobs is the same,
    see `hollyspan_policy.batch.rank_item`.

    Examples
    --------
    >>> from hollyspan_policy.routing import UpstreamView
    >>> full = UpstreamView(name="u", data_centre="d", slots=8, online=14)
    >>> must_hold(
    ...     [full], service_seconds=0.7, seconds_to_aim=0.3, seconds_left=5.0
    ... )
    True
    """
    if seconds_left <= LAST_CHANCE_S:
        return False
    usable = [view for view in views if view.serving]
    if not usable:
        return False
    if any(view.slots > view.online + view.hidden for view in usable):
        return False
    expected = min(
        estimate_wait(view, service_seconds=service_seconds) for view in usable
    )
    return seconds_to_aim < expected + FIRST_EVENT_S < seconds_left
