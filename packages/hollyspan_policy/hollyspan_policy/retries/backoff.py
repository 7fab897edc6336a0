"""Time to wait before a retry."""

from ..hashing import hash_parts

__all__ = ["compute_backoff"]

BASE_SECONDS = 0.05
LIMIT_SECONDS = 5.0
HASH_RANGE = 2**64
MOST_DOUBLINGS = 32


def compute_backoff(attempts, *, seed, base=BASE_SECONDS, limit=LIMIT_SECONDS):
    """Compute the time to wait before the next attempt.

    Parameters
    ----------
    attempts : int
        Attempts so far, 1 at least.
    seed : str
        Key of the request or of the daemon.
    base, limit : float, optional
        Seconds.

    Returns
    -------
    float
        Seconds between half and all of an exponentially growing time.

    Examples
    --------
    >>> 0.025 <= compute_backoff(1, seed="r1") <= 0.05
    True
    """
    doublings = min(MOST_DOUBLINGS, attempts - 1)
    longest = min(limit, base * 2**doublings)
    jitter = hash_parts(seed, str(attempts)) / HASH_RANGE
    return longest * (1 + jitter) / 2
