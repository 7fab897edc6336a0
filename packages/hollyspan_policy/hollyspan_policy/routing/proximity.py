"""Choice of an upstream over several data centres and regions."""

from ..hashing import hash_parts
from .cost import estimate_wait

__all__ = ["choose_fastest_upstream", "estimate_start_delay"]

# Cost of an upstream in another region, in seconds of delay: a round trip
# between regions, which also accounts for the price of the traffic.
OTHER_REGION_COST_S = 0.016
# Additional cost of an upstream in another region, in seconds of delay, when
# load is sent between regions with heartbeats only. It covers the error of
# such a view, which is up to a second old, compared with an upstream of the
# same region whose batch work yields at once.
STALE_LOAD_COST_S = 0.06
# Cost of another data centre of the same region, in seconds of delay: a round
# trip.
OTHER_DATA_CENTRE_COST_S = 0.002
# Cost of each slot in use, in seconds of delay: the time of a step grows with
# the number of running streams, and a nearly full upstream is the first to
# fill up before its new load is known to the other daemons.
COST_PER_STREAM_S = 0.004
# Cost of a request that takes twice as long as usual, in seconds of delay: it
# holds a slot, and later ones wait for it, for so much longer.
SLOWNESS_COST_S = 0.012


def is_never_same_region(data_centre):
    """Return False: treat every other data centre as another region."""
    return False


def estimate_start_delay(
    view,
    *,
    data_centre,
    service_seconds,
    is_same_region=is_never_same_region,
    has_current_remote_load=True,
):
    """Estimate the delay until an upstream starts a new online request.

    Parameters
    ----------
    view : UpstreamView
    data_centre : str
        Data centre of the deciding daemon.
    service_seconds : float
        Mean time for which an online request holds a slot, seconds.
    is_same_region : callable, optional
        Returns whether a data centre is in the daemon's region.
    has_current_remote_load : bool, optional
        False when the load of other regions is known with a delay.

    Returns
    -------
    float
        Seconds.
    """
    start = estimate_wait(view, service_seconds=service_seconds)
    if view.data_centre != data_centre:
        if is_same_region(view.data_centre):
            start += OTHER_DATA_CENTRE_COST_S
        else:
            start += (
                OTHER_REGION_COST_S
                if has_current_remote_load
                else OTHER_REGION_COST_S + STALE_LOAD_COST_S
            )
    start += view.reserve_cost
    start += SLOWNESS_COST_S * (view.slowness - 1)
    return start + COST_PER_STREAM_S * (view.online + view.batch)


def choose_fastest_upstream(
    views,
    *,
    data_centre,
    service_seconds,
    is_same_region=is_never_same_region,
    has_current_remote_load=True,
    excluded=(),
    seed="",
):
    """Choose the upstream with the shortest delay for an online request.

    Parameters
    ----------
    views : iterable of UpstreamView
    data_centre : str
        Data centre of the deciding daemon.
    service_seconds : float
        Mean time for which an online request holds a slot, seconds.
    is_same_region : callable, optional
        Returns whether a data centre is in the daemon's region.
    has_current_remote_load : bool, optional
        False when the load of other regions is known with a delay.
    excluded : collection of str, optional
        Upstreams that were already tried.
    seed : str, optional
        Key of the request. It breaks ties, so that daemons with the same
        view do not all choose the same upstream.

    Returns
    -------
    UpstreamView or None
        None when no upstream is usable.

    Notes
    -----
    Load pattern: waves of 1.87 times the mean load that last some seconds,
    with batch work filling the slots between them; upstreams whose speeds
    differ by a factor of two and more, and change within a second. A fast
    upstream gets some requests more than a slow one, not as many more as it
    is faster: what is known of the others' requests is old by a trip, and a
    nearly full upstream is where they collide.
    """
    usable = [
        view for view in views if view.serving and view.name not in excluded
    ]

    def rank(view):
        start = estimate_start_delay(
            view,
            data_centre=data_centre,
            service_seconds=service_seconds,
            is_same_region=is_same_region,
            has_current_remote_load=has_current_remote_load,
        )
        return start, hash_parts(seed, view.name)

    return min(usable, key=rank, default=None)
