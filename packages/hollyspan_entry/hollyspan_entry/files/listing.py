"""Listing of the files of a workspace."""

from hollyspan_core.errors import InvalidRequestError

from .answer import build_file_object
from .keys import build_manifest_key
from .manifest import decode_manifest

__all__ = ["list_files", "read_limit"]

DEFAULT_LIMIT = 20
MAX_LIMIT = 100


def read_limit(arguments):
    """Return the `limit` and `after` of a listing.

    Parameters
    ----------
    arguments : dict
        Query of the request.

    Returns
    -------
    tuple of (int, str or None)

    Raises
    ------
    InvalidRequestError
    """
    text = arguments.get(b"limit", [str(DEFAULT_LIMIT).encode()])[0]
    if not text.isdigit() or not int(text):
        raise InvalidRequestError("limit is no number", param="limit")
    after = arguments.get(b"after", [b""])[0].decode("utf-8", "replace")
    return min(int(text), MAX_LIMIT), after or None


async def list_files(store, workspace, *, arguments):
    """List the input files of a workspace by their identifier.

    Parameters
    ----------
    store : Store
    workspace : str
    arguments : dict
        Query of the request.

    Returns
    -------
    dict
        A list object.
    """
    limit, after = read_limit(arguments)
    page = await store.list(
        build_manifest_key(workspace, ""),
        after=after and build_manifest_key(workspace, after),
        limit=limit,
    )
    files = [
        build_file_object(decode_manifest(entry.content))
        for entry in page.entries
    ]
    return {
        "object": "list",
        "data": files,
        "has_more": page.more,
        "first_id": files[0]["id"] if files else None,
        "last_id": files[-1]["id"] if files else None,
    }
