"""Listing of the files of a workspace."""

from ..http import build_list
from ..http import read_paging
from .answer import build_file_object
from .keys import build_manifest_key
from .manifest import decode_manifest

__all__ = ["list_files"]


async def list_files(store, workspace, *, arguments):
    """List the input files of a workspace, sorted by identifier.

    Parameters
    ----------
    store : Store
    workspace : str
    arguments : dict
        Query arguments of the request.

    Returns
    -------
    dict
        A list object.
    """
    paging = read_paging(arguments)
    page = await store.list(
        build_manifest_key(workspace, ""),
        after=paging.after and build_manifest_key(workspace, paging.after),
        limit=paging.limit,
    )
    files = [
        build_file_object(decode_manifest(entry.content))
        for entry in page.entries
    ]
    return build_list(files, has_more=page.has_more)
