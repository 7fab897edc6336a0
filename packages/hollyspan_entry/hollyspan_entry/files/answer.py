"""File objects in the format of the OpenAI API."""

__all__ = ["build_file_object", "describe_file"]


def describe_file(*, file, size, created_at, filename, purpose):
    """Return a file object.

    Parameters
    ----------
    file : str
        Identifier of the file.
    size : int
        Size in bytes.
    created_at : int
        Seconds since the epoch.
    filename, purpose : str

    Returns
    -------
    dict
    """
    return {
        "id": file,
        "object": "file",
        "bytes": size,
        "created_at": created_at,
        "filename": filename,
        "purpose": purpose,
        "status": "processed",
    }


def build_file_object(manifest):
    """Return the file object of an input file.

    Parameters
    ----------
    manifest : FileManifest

    Returns
    -------
    dict
    """
    return describe_file(
        file=manifest.file,
        size=manifest.size,
        created_at=manifest.created_at,
        filename=manifest.filename,
        purpose=manifest.purpose,
    )
