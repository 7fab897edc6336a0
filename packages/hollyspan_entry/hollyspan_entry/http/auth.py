"""Authentication of callers by API key."""

import hashlib
import hmac

from hollyspan_core.errors import AuthenticationError
from hollyspan_core.workspaces import digest_key
from hollyspan_core.workspaces import read_bearer_key

__all__ = ["authenticate", "sign_key"]

SIGNATURE_DIGITS = 32
SIGNED_PREFIX = "hs1"


def sign_key(workspace, *, signing_key):
    """Return the signed API key of a workspace.

    Parameters
    ----------
    workspace : str
    signing_key : bytes

    Returns
    -------
    str
    """
    digest = hmac.new(signing_key, workspace.encode(), hashlib.sha256)
    signature = digest.hexdigest()[:SIGNATURE_DIGITS]
    return f"{SIGNED_PREFIX}.{workspace}.{signature}"


def authenticate(request, *, configuration, signing_key):
    """Return the workspace that a request's API key belongs to.

    Parameters
    ----------
    request : twisted.web.http.Request
    configuration : Configuration
    signing_key : bytes

    Returns
    -------
    str

    Raises
    ------
    AuthenticationError
        The key is missing or unknown.
    """
    key = read_bearer_key(request.getHeader("authorization"))
    if key is None:
        raise AuthenticationError("the Authorization header contains no key")
    workspace = configuration.workspaces.get(digest_key(key))
    if workspace is None:
        workspace = read_signed_workspace(key, signing_key=signing_key)
    if workspace is None:
        raise AuthenticationError("the key is unknown")
    return workspace


def read_signed_workspace(key, *, signing_key):
    """Return the workspace of a signed key, or None if it is not valid."""
    parts = key.split(".")
    if len(parts) != 3 or parts[0] != SIGNED_PREFIX:
        return None
    expected = sign_key(parts[1], signing_key=signing_key)
    if not hmac.compare_digest(expected.encode(), key.encode()):
        return None
    return parts[1]
