"""Parsing of the query arguments of a request."""

from hollyspan_core.errors import InvalidRequestError

__all__ = ["read_argument", "read_flag", "read_number"]


def read_argument(request, name):
    """Return a query argument as text.

    Parameters
    ----------
    request : twisted.web.http.Request
    name : str

    Returns
    -------
    str or None
        None if the argument is missing.
    """
    values = request.args.get(name.encode())
    return values[0].decode("utf-8", "replace") if values else None


def read_flag(request, name):
    """Return whether a query argument is given and is not 0.

    Parameters
    ----------
    request : twisted.web.http.Request
    name : str

    Returns
    -------
    bool
    """
    return (read_argument(request, name) or "0") != "0"


def read_number(request, name, *, default, maximum):
    """Return a query argument as a positive integer.

    Parameters
    ----------
    request : twisted.web.http.Request
    name : str
    default, maximum : int

    Returns
    -------
    int

    Raises
    ------
    InvalidRequestError
        The argument is not a number from 1 to `maximum`.
    """
    text = read_argument(request, name)
    if text is None:
        return default
    if not text.isdecimal() or not 0 < int(text) <= maximum:
        raise InvalidRequestError(
            f"{name} must be a number from 1 to {maximum}", param=name
        )
    return int(text)
