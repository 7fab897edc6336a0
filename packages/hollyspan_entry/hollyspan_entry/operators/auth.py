"""Who may use the operators' interface."""

import hmac

from hollyspan_core.errors import AuthenticationError

__all__ = ["check_operator"]


def check_operator(request, *, key):
    """Refuse a request without the operators' key.

    Parameters
    ----------
    request : twisted.web.http.Request
    key : str

    Raises
    ------
    AuthenticationError
        The key is missing or wrong.
    """
    header = request.getHeader("authorization") or ""
    scheme, _, given = header.partition(" ")
    matches = hmac.compare_digest(given.encode(), key.encode())
    if scheme.lower() != "bearer" or not matches:
        raise AuthenticationError("the operators' key is missing or wrong")
