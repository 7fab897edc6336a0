"""Pagination of listings."""

from hollyspan_core.errors import InvalidRequestError

__all__ = ["Paging", "build_list", "read_paging"]

DEFAULT_LIMIT = 20
MAX_LIMIT = 100


class Paging:
    """Requested page of a listing.

    Parameters
    ----------
    limit : int
        Maximum number of objects to return.
    after : str or None
        Identifier of the object that precedes the page; None for the first
        page.
    """

    __slots__ = ("limit", "after")

    def __init__(self, *, limit, after):
        self.limit = limit
        self.after = after


def read_paging(arguments):
    """Read the requested page from the query of a request.

    Parameters
    ----------
    arguments : dict
        Query parameters of the request.

    Returns
    -------
    Paging

    Raises
    ------
    InvalidRequestError
        The limit is not a positive number.
    """
    text = arguments.get(b"limit", [str(DEFAULT_LIMIT).encode()])[0]
    if not text.isdigit() or not int(text):
        raise InvalidRequestError(
            "limit is not a positive number", param="limit"
        )
    after = arguments.get(b"after", [b""])[0].decode("utf-8", "replace")
    return Paging(limit=min(int(text), MAX_LIMIT), after=after or None)


def build_list(objects, *, has_more):
    """Return a list object.

    Parameters
    ----------
    objects : list of dict
        Objects of the page, each with its ``id``.
    has_more : bool
        Whether further objects follow.

    Returns
    -------
    dict
    """
    return {
        "object": "list",
        "data": objects,
        "has_more": has_more,
        "first_id": objects[0]["id"] if objects else None,
        "last_id": objects[-1]["id"] if objects else None,
    }
