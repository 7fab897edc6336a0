"""Upstreams with room under their paces."""

import math

from ..hashing import hash_to_fraction

__all__ = ["count_room", "list_with_room"]

# Time until the other gateways of a region know of a request: that for which
# changes of load are coalesced in a large fleet, and the way.
NOTICE_DELAY_S = 0.03


def count_room(view):
    """Return how many more requests an upstream's pace allows.

    Parameters
    ----------
    view : UpstreamView

    Returns
    -------
    int or None
        None without a pace.
    """
    if view.allowed is None:
        return None
    return view.allowed - view.online - view.batch - view.hidden


def list_with_room(views, *, excluded=(), service_seconds=math.inf, seed=""):
    """Return the upstreams that a request may be sent to by their paces.

    Parameters
    ----------
    views : list of UpstreamView
    excluded : collection of str, optional
        Names of the upstreams that were tried already.
    service_seconds : float, optional
        Mean time for which a request holds a slot, from which it follows how
        many are sent at the same moment; by default this one is alone.
    seed : str, optional
        Key of the request.

    Returns
    -------
    list of UpstreamView
        All of them if none is left otherwise: a pace refuses nothing.

    Notes
    -----
    Load pattern: fifty gateways with a little traffic each see a new upstream
    without a request at the same moment. Of the requests that would take the
    same place, a hash of their keys selects about as many as there are places,
    so that no gateway has to ask another one.
    """

    rivals = estimate_rivals(views, service_seconds=service_seconds)

    def may_send(view):
        room = count_room(view)
        if room is None:
            return True
        if room <= 0:
            return False
        return hash_to_fraction("pace", seed, view.name) * rivals < room

    chosen = [view for view in views if may_send(view)]
    if any(view.serving and view.name not in excluded for view in chosen):
        return chosen
    return list(views)


def estimate_rivals(views, *, service_seconds):
    """Estimate the requests that are sent before others hear of one.

    Parameters
    ----------
    views : list of UpstreamView
    service_seconds : float
        Mean time for which a request holds a slot.

    Returns
    -------
    float
        Little's law gives the rate of arrivals.
    """
    online = sum(view.online for view in views)
    return online / service_seconds * NOTICE_DELAY_S
