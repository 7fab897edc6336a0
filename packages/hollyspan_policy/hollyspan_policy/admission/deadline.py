"""Estimate of when a request would get its first token."""

from ..routing import estimate_wait

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
        Seconds, without the time for the prompt itself.
    """
    return estimate_wait(view, service_seconds=service_seconds)
