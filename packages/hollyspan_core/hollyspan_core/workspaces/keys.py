"""Keys of callers, of which only digests are kept."""

import hashlib

__all__ = ["digest_key", "read_bearer_key"]

BEARER_SCHEME = "bearer"


def digest_key(key):
    """Return the digest by which a key is known.

    Parameters
    ----------
    key : str

    Returns
    -------
    str

    Examples
    --------
    >>> digest_key("dev-key")[:8]
    '7e9f8fd1'
    """
    return hashlib.sha256(key.encode()).hexdigest()


def read_bearer_key(value):
    """Return the key in the value of an Authorization header, as in RFC 6750.

    Parameters
    ----------
    value : str or None

    Returns
    -------
    str or None
        None if the header is missing or holds no bearer key.

    Examples
    --------
    >>> read_bearer_key("Bearer dev-key")
    'dev-key'
    """
    scheme, _, key = (value or "").partition(" ")
    key = key.strip()
    return key if key and scheme.lower() == BEARER_SCHEME else None
