"""Reading of JSON documents from files."""

import json
from pathlib import Path

from .errors import InputFileError

__all__ = ["read_document"]


def read_document(path):
    """Read a JSON document from a file.

    Parameters
    ----------
    path : str

    Returns
    -------
    object

    Raises
    ------
    InputFileError
        The file cannot be read or does not contain JSON.
    """
    try:
        return json.loads(Path(path).read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        raise InputFileError(f"{path}: {error}") from error
