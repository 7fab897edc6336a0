"""Exponential back-off before a retry."""

from ..hashing import hash_parts

__all__ = ["compute_backoff"]

BASE_BACKOFF_S = 0.05
MAX_BACKOFF_S = 5.0
HASH_RANGE = 2**64
MAX_DOUBLINGS = 32


def compute_backoff(
    attempts, *, seed, base=BASE_BACKOFF_S, limit=MAX_BACKOFF_S
):
    """Compute the back-off before the next attempt.

    Parameters
    ----------
    attempts : int
        Number of attempts so far, at least 1.
    seed : str
        Key of the request or of the daemon.
    base, limit : float, optional
        Longest back-off after the first attempt and after any attempt,
        seconds.

    Returns
    -------
    float
        Seconds, between half and all of an exponentially growing time.

    Examples
    --------
    >>> 0.025 <= compute_backoff(1, seed="r1") <= 0.05
    True
    """
    doublings = min(MAX_DOUBLINGS, attempts - 1)
    max_delay = min(limit, base * 2**doublings)
    jitter = hash_parts(seed, str(attempts)) / HASH_RANGE
    return max_delay * (1 + jitter) / 2
