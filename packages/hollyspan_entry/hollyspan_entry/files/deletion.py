"""Deletion of files."""

from hollyspan_core.errors import FileInUseError
from hollyspan_core.errors import FileNotFoundInWorkspaceError

from .data import delete_data
from .keys import build_manifest_key
from .manifest import decode_manifest

__all__ = ["delete_file"]


async def delete_file(runtime, workspace, file):
    """Delete an input file that nothing needs.

    Results of a job are no input files; they are not found here.

    Parameters
    ----------
    runtime : Runtime
    workspace, file : str

    Raises
    ------
    FileNotFoundInWorkspaceError
    FileInUseError

    Notes
    -----
    The manifest goes first and comes back when a job needs the file; a new
    job looks for the manifest once more after it has been queued. So either
    the deletion sees the job or the job sees the deletion.
    """
    store = runtime.store
    key = build_manifest_key(workspace, file)
    entry = await store.get(key)
    if entry is None:
        raise FileNotFoundInWorkspaceError("no such file")
    await store.delete(key, revision=entry.revision)
    for is_needed in runtime.file_users:
        if await is_needed(file):
            await store.create(key, entry.content)
            raise FileInUseError("an unfinished batch needs the file")
    await delete_data(store, decode_manifest(entry.content).data)
