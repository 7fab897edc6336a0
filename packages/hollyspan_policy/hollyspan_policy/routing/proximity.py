"""Choice of an upstream when those far away cost time and traffic."""

from ..hashing import hash_parts
from .cost import estimate_wait

__all__ = ["choose_nearby", "estimate_start"]

# Seconds that an upstream of another region costs: a round trip between
# regions, which also stands for the price of the bytes.
REMOTE_S = 0.016
# Seconds that an upstream of another region costs in a fleet that tells of
# load there with heartbeats only: what such a view is off by, up to a second
# old, against a near upstream whose batch work gives way at once.
HEARSAY_S = 0.06
# Seconds that another data centre of the own region costs: a round trip.
NEIGHBOUR_S = 0.002
# Seconds for each slot in use: steps grow with the streams that run, and a
# nearly full upstream is the first to fill up while word of it travels.
LOAD_S = 0.004


def is_elsewhere(data_centre):
    """Tell that each other data centre is in another region."""
    return False


def estimate_start(
    view,
    *,
    data_centre,
    service_seconds,
    is_near=is_elsewhere,
    knows_remote=True,
):
    """Estimate the time until an upstream starts a new request.

    Parameters
    ----------
    view : UpstreamView
    data_centre : str
        Where the asking daemon is.
    service_seconds : float
        Mean time that an online request holds a slot, seconds.
    is_near : callable, optional
        Tells whether another data centre is in the daemon's region.
    knows_remote : bool, optional
        False when the load in other regions is known with a delay.

    Returns
    -------
    float
        Seconds.
    """
    start = estimate_wait(view, service_seconds=service_seconds)
    if view.data_centre != data_centre:
        if is_near(view.data_centre):
            start += NEIGHBOUR_S
        else:
            start += REMOTE_S if knows_remote else REMOTE_S + HEARSAY_S
    return start + LOAD_S * (view.online + view.batch)


def choose_nearby(
    views,
    *,
    data_centre,
    service_seconds,
    is_near=is_elsewhere,
    knows_remote=True,
    excluded=(),
    seed="",
):
    """Choose the upstream that starts an online request first.

    Parameters
    ----------
    views : iterable of UpstreamView
    data_centre : str
        Where the asking daemon is.
    service_seconds : float
        Mean time that an online request holds a slot, seconds.
    is_near : callable, optional
        Tells whether another data centre is in the daemon's region.
    knows_remote : bool, optional
        False when the load in other regions is known with a delay.
    excluded : collection of str, optional
        Upstreams tried already.
    seed : str, optional
        Key of the request; breaks ties, so that daemons with the same view
        do not all choose the same upstream.

    Returns
    -------
    UpstreamView or None

    Notes
    -----
    Load pattern: waves of 1.87 times the mean that last some seconds, with
    batch work in the slots between them.
    """
    usable = [
        view for view in views if view.serving and view.name not in excluded
    ]

    def rank(view):
        start = estimate_start(
            view,
            data_centre=data_centre,
            service_seconds=service_seconds,
            is_near=is_near,
            knows_remote=knows_remote,
        )
        return start, hash_parts(seed, view.name)

    return min(usable, key=rank, default=None)
