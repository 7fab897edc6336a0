"""Hash of several texts, for choices that need no coordination."""

import xxhash

__all__ = ["hash_parts"]


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
