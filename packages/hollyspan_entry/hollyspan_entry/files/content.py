"""Incremental reading of the content of a file."""

from hollyspan_core.errors import FileNotFoundInWorkspaceError

from .answer import build_file_object
from .data import read_chunk
from .keys import build_manifest_key
from .manifest import decode_manifest

__all__ = ["FileContent", "open_content", "read_manifest"]


class FileContent:
    """File object and content of a file.

    Parameters
    ----------
    description : dict
        File object.
    read : callable
        Returns an asynchronous iterator over the content in bytes.
    """

    __slots__ = ("description", "read")

    def __init__(self, *, description, read):
        self.description = description
        self.read = read


async def read_manifest(store, workspace, file):
    """Read the manifest of an input file.

    Parameters
    ----------
    store : Store
    workspace, file : str

    Returns
    -------
    FileManifest

    Raises
    ------
    FileNotFoundInWorkspaceError
    """
    entry = await store.get(build_manifest_key(workspace, file))
    if entry is None:
        raise FileNotFoundInWorkspaceError("no such file")
    return decode_manifest(entry.content)


async def open_content(runtime, workspace, file):
    """Open an input file or a file of another kind, such as results.

    Parameters
    ----------
    runtime : Runtime
    workspace, file : str

    Returns
    -------
    FileContent

    Raises
    ------
    FileNotFoundInWorkspaceError
    """
    for find in runtime.file_sources:
        content = await find(workspace, file)
        if content is not None:
            return content
    return await open_input(runtime.store, workspace, file)


async def open_input(store, workspace, file):
    manifest = await read_manifest(store, workspace, file)

    async def read():
        for chunk in range(len(manifest.items)):
            yield await read_chunk(store, manifest.data, chunk)

    return FileContent(description=build_file_object(manifest), read=read)
