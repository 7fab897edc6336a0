"""Estimate of when a request would get its first token."""

__all__ = ["estimate_first_token"]


def estimate_first_token(view, *, service_seconds):
    """Estimate the wait for the first token at an upstream.

    Parameters
    ----------
    view : UpstreamView
    service_seconds : float
        Mean time that an online request holds a slot, seconds.

    Returns
    -------
    float
        Seconds.
    """
    ahead = view.online - view.slots + 1
    if ahead <= 0:
        return 0.0
    return ahead * service_seconds / view.slots
