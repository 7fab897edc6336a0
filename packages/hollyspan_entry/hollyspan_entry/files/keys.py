"""Store keys and identifiers of files."""

import hashlib

__all__ = [
    "FILE_PREFIX",
    "build_chunk_key",
    "build_manifest_key",
    "derive_file_id",
]

FILE_PREFIX = "file-"
FILE_ID_DIGITS = 32


def build_manifest_key(workspace, file):
    """Return the store key of the manifest of a file."""
    return f"files/{workspace}/{file}"


def build_chunk_key(data, chunk):
    """Return the store key of one chunk of a file."""
    return f"data/{data}/{chunk:06}"


def derive_file_id(workspace, key):
    """Derive the identifier of a file from an idempotency key.

    Repeated uploads with the same key get the same identifier.

    Parameters
    ----------
    workspace : str
    key : str
        The caller's Idempotency-Key.

    Returns
    -------
    str
    """
    digest = hashlib.sha256(f"file\0{workspace}\0{key}".encode())
    return FILE_PREFIX + digest.hexdigest()[:FILE_ID_DIGITS]
