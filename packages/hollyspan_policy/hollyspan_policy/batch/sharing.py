"""Sharing of upstream slots between daemons that run batch work."""

from ..hashing import hash_parts
from ..pace import count_room

__all__ = ["choose_batch_upstream", "count_excess", "count_free_slots"]


def choose_batch_upstream(
    views,
    *,
    data_centre,
    is_same_region=None,
    has_current_remote_load=True,
    headroom_fraction=0.0,
    count_startable=None,
    seed="",
):
    """Choose the upstream for one more batch stream.

    Parameters
    ----------
    views : iterable of UpstreamView
    data_centre : str
        Data centre of the deciding daemon.
    is_same_region : callable, optional
        Returns whether a data centre is in the daemon's region. Upstreams of
        the region are preferred, since changes of their online load are known
        sooner, and among these the ones with the most free slots. By default
        the region consists of the daemon's data centre.
    has_current_remote_load : bool, optional
        False when the load of other regions is known with a delay. Free slots
        of other regions then do not count towards the headroom of the
        daemon's region.
    headroom_fraction : float, optional
        Fraction of the slots of all upstreams together that stays free. One
        free slot anywhere serves the next online request, so the headroom is
        not kept at each upstream.
    count_startable : callable, optional
        Called with a view, returns how many of its free slots the daemon may
        fill now; all by default. See `SlotTurns`.
    seed : str, optional
        Key of the item. It breaks ties, so that daemons with the same view
        do not all fill the same upstream.

    Returns
    -------
    UpstreamView or None
        None when no upstream has a free slot. Batch work is never queued at
        an upstream, where online requests would wait behind it.

    Notes
    -----
    Load pattern: many online requests start and end during the run of one
    item, so that a batch stream started as soon as a slot is free would soon
    be preempted; upstreams of different speeds. At half the speed half as
    much is finished, and an item is exposed to preemption for twice as long.
    """
    views = [view for view in views if view.serving]

    def is_in_region(view):
        if is_same_region is None:
            return view.data_centre == data_centre
        return is_same_region(view.data_centre)

    groups = [views]
    if not has_current_remote_load:
        regional = [view for view in views if is_in_region(view)]
        groups = [regional, [view for view in views if not is_in_region(view)]]

    def rank(view):
        return (
            is_in_region(view),
            count_free_slots(view) / view.slowness**2,
            view.data_centre == data_centre,
            hash_parts(seed, view.name),
        )

    for group in groups:
        free = sum(max(0, count_free_slots(view)) for view in group)
        if free <= headroom_fraction * sum(view.slots for view in group):
            continue
        usable = [
            view
            for view in group
            if not view.waiting
            and count_free_slots(view) > 0
            and (count_startable is None or count_startable(view) > 0)
        ]
        if usable:
            return max(usable, key=rank)
    return None


def count_free_slots(view):
    """Count the unoccupied slots of an upstream that batch work may use."""
    free = view.slots - view.online - view.batch - view.hidden
    room = count_room(view)
    return free if room is None else min(free, room)


def count_excess(*, slots, online, batch_by_daemon, daemon):
    """Count the batch streams that a daemon must stop at an upstream.

    Parameters
    ----------
    slots : int
    online : int
        Online requests in flight at the upstream from all daemons.
    batch_by_daemon : dict
        Batch streams in flight at the upstream by daemon.
    daemon : str
        The deciding daemon.

    Returns
    -------
    int

    Notes
    -----
    All daemons compute the same split. The daemon with the most streams stops
    streams first, so that one online request does not stop a stream of every
    daemon.

    Examples
    --------
    >>> count_excess(
    ...     slots=8, online=5, batch_by_daemon={"a": 3, "b": 1}, daemon="a"
    ... )
    1
    """
    excess = online + sum(batch_by_daemon.values()) - slots
    preemption_order = sorted(
        batch_by_daemon, key=lambda name: (-batch_by_daemon[name], name)
    )
    for name in preemption_order:
        if excess <= 0:
            return 0
        share = min(excess, batch_by_daemon[name])
        if name == daemon:
            return share
        excess -= share
    return 0
