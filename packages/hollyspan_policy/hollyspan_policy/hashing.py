"""Hashes of strings, for consistent choices without coordination."""

import xxhash

__all__ = ["format_hash", "hash_content", "hash_parts", "hash_to_fraction"]

HASH_RANGE = 2.0**64


def hash_parts(*parts):
    """Return the 64-bit hash of a sequence of strings.

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


def hash_content(*fields):
    """Return the 64-bit hash of a sequence of byte strings.

    Parameters
    ----------
    *fields : bytes
        Only the last one may contain zero bytes.

    Returns
    -------
    int

    Examples
    --------
    >>> hash_content(b"/a", b"body") == hash_content(b"/a", b"other")
    False
    """
    digest = xxhash.xxh3_64()
    for number, field in enumerate(fields):
        if number:
            digest.update(b"\0")
        digest.update(field)
    return digest.intdigest()


def hash_to_fraction(*parts):
    """Return a pseudo-random number determined by a sequence of strings.

    Parameters
    ----------
    *parts : str

    Returns
    -------
    float
        At least 0 and less than 1.

    Examples
    --------
    >>> 0.0 <= hash_to_fraction("request", "a") < 1.0
    True
    """
    return hash_parts(*parts) / HASH_RANGE


def format_hash(value):
    """Return a 64-bit hash as text, for names and log lines.

    Parameters
    ----------
    value : int

    Returns
    -------
    str

    Examples
    --------
    >>> format_hash(255)
    '00000000000000ff'
    """
    return f"{value:016x}"
