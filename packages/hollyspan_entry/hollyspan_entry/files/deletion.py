"""Deletion of input files."""

from hollyspan_core.errors import FileInUseError
from hollyspan_core.errors import FileNotFoundInWorkspaceError

from .data import delete_data
from .keys import build_manifest_key
from .manifest import decode_manifest

__all__ = ["delete_file"]


async def delete_file(runtime, workspace, file):
    """Delete an input file that is not in use.

    Only input files can be deleted; result files of jobs are not found.

    Parameters
    ----------
    runtime : Runtime
    workspace, file : str

    Raises
    ------
    FileNotFoundInWorkspaceError
        The workspace has no such input file.
    FileInUseError
        An unfinished job needs the file.

    Notes
    -----
    The manifest is deleted first and restored if a job needs the file. A new
    job checks the manifest again after it has been queued. A deletion and a
    job created at the same time therefore cannot miss each other: either the
    deletion finds the job, or the job finds that the manifest is missing.
    """
    store = runtime.store
    key = build_manifest_key(workspace, file)
    entry = await store.get(key)
    if entry is None:
        raise FileNotFoundInWorkspaceError("no such file")
    await store.delete(key, revision=entry.revision)
    for is_needed in runtime.file_usage_checks:
        if await is_needed(file):
            await store.create(key, entry.content)
            raise FileInUseError("an unfinished batch needs the file")
    await delete_data(store, decode_manifest(entry.content).data)
