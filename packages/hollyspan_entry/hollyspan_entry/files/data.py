"""Reading and deletion of the chunks of a file in the store."""

import zstandard

from hollyspan_core.errors import FileNotFoundInWorkspaceError
from hollyspan_core.errors import StoreConflictError

from .keys import build_chunk_key

__all__ = ["delete_data", "read_chunk"]

MAX_DECOMPRESSED_BYTES = 1_000_000


async def read_chunk(store, data, chunk):
    """Read one chunk of a file.

    Parameters
    ----------
    store : Store
    data : str
        Identifier of the chunks, from the manifest of the file.
    chunk : int
        Index of the chunk.

    Returns
    -------
    bytes

    Raises
    ------
    FileNotFoundInWorkspaceError
        The file was deleted.
    """
    entry = await store.get(build_chunk_key(data, chunk))
    if entry is None:
        raise FileNotFoundInWorkspaceError("the file was deleted")
    decompressor = zstandard.ZstdDecompressor()
    return decompressor.decompress(
        entry.content, max_output_size=MAX_DECOMPRESSED_BYTES
    )


async def delete_data(store, data):
    """Delete all chunks of a file.

    Parameters
    ----------
    store : Store
    data : str
        Identifier of the chunks, from the manifest of the file.
    """
    after = None
    while True:
        page = await store.list(f"data/{data}/", after=after, keys_only=True)
        for entry in page.entries:
            try:
                await store.delete(entry.key, revision=entry.revision)
            except StoreConflictError:
                continue
        if not page.has_more:
            return
        after = page.entries[-1].key
