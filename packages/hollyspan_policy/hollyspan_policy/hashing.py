"""Hash of several texts, for choices that need no coordination."""

import xxhash

__all__ = ["draw_share", "hash_parts"]

HASH_RANGE = 2.0**64


def hash_parts(*parts):
    """Return the 64-bit hash of some texts.

    Parameters
    ----------
    *parts : str

    Returns
    -------
    int

    Examples
    --------
    >>> hash_parts("engine-1", "a") == hash_parts("engine-1", "a")
    True
    """
    content = "\0".join(parts).encode("utf-8", "surrogatepass")
    return xxhash.xxh3_64_intdigest(content)


def draw_share(*parts):
    """Return a number from 0 to below 1 that texts determine.

    Parameters
    ----------
    *parts : str

    Returns
    -------
    float

    Examples
    --------
    >>> 0.0 <= draw_share("request", "a") < 1.0
    True
    """
    return hash_parts(*parts) / HASH_RANGE
