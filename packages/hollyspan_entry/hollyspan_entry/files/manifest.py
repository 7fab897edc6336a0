"""Manifest of an input file."""

import json

__all__ = ["FileManifest", "decode_manifest", "encode_manifest"]


class FileManifest:
    """What is kept of an input file beside its chunks.

    Parameters
    ----------
    file : str
        Identifier towards callers.
    data : str
        Identifier that the keys of the chunks hold.
    filename, purpose : str
    size : int
        Bytes of the file.
    digest : str
        SHA-256 of the file, hexadecimal.
    created_at : int
        Seconds since the epoch.
    items : list of int
        Items in each chunk.
    urls : list of str
        Paths that the items ask for.
    models : list of str
        Models that the items name; empty when there are too many.
    """

    __slots__ = (
        "file",
        "data",
        "filename",
        "purpose",
        "size",
        "digest",
        "created_at",
        "items",
        "urls",
        "models",
    )

    def __init__(
        self,
        *,
        file,
        data,
        filename,
        purpose,
        size,
        digest,
        created_at,
        items,
        urls,
        models,
    ):
        self.file = file
        self.data = data
        self.filename = filename
        self.purpose = purpose
        self.size = size
        self.digest = digest
        self.created_at = created_at
        self.items = items
        self.urls = urls
        self.models = models


def encode_manifest(manifest):
    """Return a manifest as JSON.

    Parameters
    ----------
    manifest : FileManifest

    Returns
    -------
    bytes
    """
    return json.dumps(
        {name: getattr(manifest, name) for name in FileManifest.__slots__}
    ).encode()


def decode_manifest(content):
    """Decode a manifest from JSON.

    Parameters
    ----------
    content : bytes

    Returns
    -------
    FileManifest
    """
    return FileManifest(**json.loads(content))
