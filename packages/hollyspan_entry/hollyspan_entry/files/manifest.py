"""Manifests of input files and their JSON encoding."""

import json

__all__ = ["FileManifest", "decode_manifest", "encode_manifest"]


class FileManifest:
    """Metadata of an input file; its chunks are stored separately.

    The attributes in `__slots__` are the keys of the stored JSON object.

    Parameters
    ----------
    file : str
        Identifier of the file in the API.
    data : str
        Identifier used in the store keys of the chunks.
    filename, purpose : str
    size : int
        Size of the file in bytes.
    digest : str
        SHA-256 of the file, hexadecimal.
    created_at : int
        Seconds since the epoch.
    items : list of int
        Number of items in each chunk.
    urls : list of str
        Distinct URL paths of the items.
    models : list of str
        Distinct models of the items; empty if there are too many.
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
