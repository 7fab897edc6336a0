"""Time after which a request beyond a workspace's rate may come again."""

from ..hashing import hash_to_fraction

__all__ = ["estimate_return"]

MIN_RETURN_S = 0.1
MAX_RETURN_S = 30.0


def estimate_return(*, fraction, key):
    """Estimate when a refused request may come again.

    Parameters
    ----------
    fraction : float
        Part of the requests that is admitted, more than 0.
    key : str
        Identifier of the request, which spreads the times.

    Returns
    -------
    float
        Seconds.

    Notes
    -----
    Load pattern: a workspace that sends several times its rate. What is
    refused in one second takes the rate the time (1 - fraction) / fraction,
    over which the returns are spread; with one time for all, they would
    exceed the rate together.

    Examples
    --------
    >>> 0.1 <= estimate_return(fraction=0.25, key="q") <= 3.1
    True
    """
    spread = hash_to_fraction("return", key)
    seconds = spread * (1.0 - fraction) / max(1e-6, fraction)
    return min(MAX_RETURN_S, MIN_RETURN_S + seconds)
