"""Query arguments of a request."""

from hollyspan_core.errors import InvalidRequestError

__all__ = ["read_argument", "read_flag", "read_number"]


def read_argument(request, name):
    """Return a query argument as text, or None.

    Parameters
    ----------
    request : twisted.web.http.Request
    name : str

    Returns
    -------
    str or None
    """
    values = request.args.get(name.encode())
    return values[0].decode("utf-8", "replace") if values else None


def read_flag(request, name):
    """Return whether a query argument is set to other than 0.

    Parameters
    ----------
    request : twisted.web.http.Request
    name : str

    Returns
    -------
    bool
    """
    return (read_argument(request, name) or "0") != "0"


def read_number(request, name, *, default, largest):
    """Return a query argument as a whole number above 0.

    Parameters
    ----------
    request : twisted.web.http.Request
    name : str
    default, largest : int

    Returns
    -------
    int

    Raises
    ------
    InvalidRequestError
        It is no number, or out of range.
    """
    text = read_argument(request, name)
    if text is None:
        return default
    if not text.isdecimal() or not 0 < int(text) <= largest:
        raise InvalidRequestError(
            f"{name} must be a number from 1 to {largest}", param=name
        )
    return int(text)
