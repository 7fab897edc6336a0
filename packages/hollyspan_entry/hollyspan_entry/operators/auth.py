"""Authentication of operators."""

import hmac

from hollyspan_core.errors import AuthenticationError

__all__ = ["check_operator"]


def check_operator(request, *, key):
    """Check that a request carries the operators' key.

    Parameters
    ----------
    request : twisted.web.http.Request
    key : str
        The operators' key.

    Raises
    ------
    AuthenticationError
        The key is missing or invalid.
    """
    header = request.getHeader("authorization") or ""
    scheme, _, given = header.partition(" ")
    matches = hmac.compare_digest(given.encode(), key.encode())
    if scheme.lower() != "bearer" or not matches:
        raise AuthenticationError("the operators' key is missing or wrong")
