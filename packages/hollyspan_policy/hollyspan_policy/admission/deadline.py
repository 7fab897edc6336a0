"""Estimate of the wait for the first token."""

from ..routing import estimate_wait

__all__ = ["estimate_first_token"]


def estimate_first_token(view, *, service_seconds):
    """Estimate the wait for the first token at an upstream.

    Parameters
    ----------
    view : UpstreamView
    service_seconds : float
        Mean time for which an online request holds a slot, seconds.

    Returns
    -------
    float
        Seconds, excluding the time to process the prompt.
    """
    return estimate_wait(view, service_seconds=service_seconds)
