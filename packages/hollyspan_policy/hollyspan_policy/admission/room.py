"""Room that the upstreams of a service have for online requests."""

__all__ = ["has_free_slot", "measure_request_capacity"]


def has_free_slot(views):
    """Return whether an upstream has a slot without an online request.

    Slots of batch work count as free, since batch work yields.

    Parameters
    ----------
    views : iterable of UpstreamView

    Returns
    -------
    bool
    """
    return any(
        view.serving and view.slots > view.online + view.hidden
        for view in views
    )


def measure_request_capacity(views, *, service_seconds):
    """Return the online requests a second that the upstreams can serve.

    Parameters
    ----------
    views : iterable of UpstreamView
    service_seconds : float
        Mean time for which an online request holds a slot, seconds.

    Returns
    -------
    float
    """
    return sum(view.slots for view in views if view.serving) / service_seconds
