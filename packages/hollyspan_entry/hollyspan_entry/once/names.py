"""Names and digests of non-idempotent requests."""

import hashlib

__all__ = ["build_once_key", "build_request_key", "digest_body"]

REQUEST_KEY_DIGITS = 32


def build_once_key(workspace, key):
    """Return the store's key for a request.

    Parameters
    ----------
    workspace : str
    key : str
        The caller's ``Idempotency-Key``.

    Returns
    -------
    str

    Examples
    --------
    >>> build_once_key("dev", "k")[:18]
    'once/dev/8254c329a'
    """
    return f"once/{workspace}/{hashlib.sha256(key.encode()).hexdigest()}"


def digest_body(method, path, body):
    """Return a digest that tells whether a resend asks for the same.

    Parameters
    ----------
    method, path : str
    body : bytes

    Returns
    -------
    str
    """
    digest = hashlib.sha256(f"{method} {path}\0".encode())
    digest.update(body)
    return digest.hexdigest()


def build_request_key(workspace, key, *, identifier):
    """Return the name that all attempts of a request share.

    Parameters
    ----------
    workspace : str
    key : str or None
        The caller's ``Idempotency-Key``; its resends share the name too.
    identifier : str
        Name of a request without a key.

    Returns
    -------
    str
    """
    if key is None:
        return f"online/{identifier}"
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"online/{workspace}/{digest[:REQUEST_KEY_DIGITS]}"
