"""How daemons that run batch work share the slots of upstreams."""

from ..hashing import hash_parts

__all__ = ["choose_batch_upstream", "count_excess", "count_room"]


def choose_batch_upstream(
    views,
    *,
    data_centre,
    is_near=None,
    knows_remote=True,
    headroom_share=0.0,
    count_open=None,
    seed="",
):
    """Choose the upstream for one more batch stream.

    Parameters
    ----------
    views : iterable of UpstreamView
    data_centre : str
        Where the asking daemon is.
    is_near : callable, optional
        Tells whether a data centre is in the daemon's region. Its upstreams
        come first, since word of online requests there comes sooner, and of
        these the ones with the most room; by default the daemon's data centre
        is its region.
    knows_remote : bool, optional
        False when the load in other regions is known with a delay. Free slots
        there then do not stand in for those of the region.
    headroom_share : float, optional
        Share of all slots together that stays free. One free slot anywhere
        serves the next online request, so the share is not kept at each
        upstream.
    count_open : callable, optional
        Called with a view, returns how many of its free slots the daemon may
        fill now; all by default. See `SlotTurns`.
    seed : str, optional
        Key of the item; breaks ties, so that daemons with the same view do
        not all fill the same upstream.

    Returns
    -------
    UpstreamView or None
        None when no upstream has a free slot; batch work never waits in an
        upstream's queue, where online requests would wait behind it.

    Notes
    -----
    Load pattern: online requests that come and go many times in the run of
    one item, so that a slot filled the moment it is free is soon taken away
    again.
    """
    views = [view for view in views if view.serving]

    def is_in_region(view):
        if is_near is None:
            return view.data_centre == data_centre
        return is_near(view.data_centre)

    groups = [views]
    if not knows_remote:
        near = [view for view in views if is_in_region(view)]
        groups = [near, [view for view in views if not is_in_region(view)]]

    def rank(view):
        return (
            is_in_region(view),
            count_room(view),
            view.data_centre == data_centre,
            hash_parts(seed, view.name),
        )

    for group in groups:
        free = sum(max(0, count_room(view)) for view in group)
        if free <= headroom_share * sum(view.slots for view in group):
            continue
        usable = [
            view
            for view in group
            if not view.waiting
            and count_room(view) > 0
            and (count_open is None or count_open(view) > 0)
        ]
        if usable:
            return max(usable, key=rank)
    return None


def count_room(view):
    """Count the slots of an upstream that nothing holds."""
    return view.slots - view.online - view.batch - view.hidden


def count_excess(*, slots, online, batch_by_daemon, daemon):
    """Count the batch streams that a daemon has to stop at an upstream.

    Parameters
    ----------
    slots : int
    online : int
        Online requests in flight there from all daemons.
    batch_by_daemon : dict
        Batch streams in flight there by daemon.
    daemon : str
        The daemon that asks.

    Returns
    -------
    int

    Notes
    -----
    Each daemon works out the same split: the one with the most streams stops
    first, so that one online request does not stop a stream of each daemon.

    Examples
    --------
    >>> count_excess(
    ...     slots=8, online=5, batch_by_daemon={"a": 3, "b": 1}, daemon="a"
    ... )
    1
    """
    excess = online + sum(batch_by_daemon.values()) - slots
    order = sorted(
        batch_by_daemon, key=lambda name: (-batch_by_daemon[name], name)
    )
    for name in order:
        if excess <= 0:
            return 0
        share = min(excess, batch_by_daemon[name])
        if name == daemon:
            return share
        excess -= share
    return 0
