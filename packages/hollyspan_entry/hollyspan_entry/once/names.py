"""Keys and digests of non-idempotent requests."""

import hashlib

__all__ = ["build_once_key", "build_request_key", "digest_body"]

REQUEST_KEY_DIGITS = 32


def build_once_key(workspace, key):
    """Return the key of a request's record in the store.

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
    """Return a digest that identifies the content of a request.

    A resend with the same idempotency key must have the same digest.

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
    """Return the key shared by all attempts of a request.

    Parameters
    ----------
    workspace : str
    key : str or None
        The caller's ``Idempotency-Key``; resends with it share the key too.
    identifier : str
        Identifier of the request, used when `key` is None.

    Returns
    -------
    str
    """
    if key is None:
        return f"online/{identifier}"
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"online/{workspace}/{digest[:REQUEST_KEY_DIGITS]}"
