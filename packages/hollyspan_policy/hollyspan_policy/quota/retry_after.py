"""Time after which work that does not fit may come again."""

from ..hashing import hash_to_fraction

__all__ = ["estimate_retry_after"]

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0
# Used while no rate is known.
DEFAULT_RETRY_AFTER_S = 2.0
# The times of different callers are spread over this multiple of the shortest.
SPREAD = 1.0


def estimate_retry_after(missing, *, tokens_per_second, key):
    """Estimate when work that does not fit may come again.

    Parameters
    ----------
    missing : int
        Tokens that have to end before the work fits.
    tokens_per_second : float or None
        Rate at which waiting tokens end; None when it is unknown.
    key : str
        Identifier of the work, which spreads the times.

    Returns
    -------
    float
        Seconds. At the end of the shortest time the missing tokens have ended
        at the given rate.

    Notes
    -----
    Load pattern: many jobs that come at once and are refused together. With
    the same time they would return together, and all but a few would be
    refused again.

    Examples
    --------
    >>> estimate_retry_after(900, tokens_per_second=300.0, key="j") >= 3.0
    True
    """
    if tokens_per_second is None:
        seconds = DEFAULT_RETRY_AFTER_S
    elif tokens_per_second <= 0:
        seconds = MAX_RETRY_AFTER_S
    else:
        seconds = max(0, missing) / tokens_per_second
    seconds = max(MIN_RETRY_AFTER_S, seconds)
    spread = 1.0 + SPREAD * hash_to_fraction("retry", key)
    return min(MAX_RETRY_AFTER_S, seconds) * spread
