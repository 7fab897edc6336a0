"""Upload, reading, listing and deletion of callers' files."""

from .answer import describe_file
from .content import FileContent
from .content import read_manifest
from .data import read_chunk
from .part import build_upload_request
from .part import open_files

__all__ = [
    "FileContent",
    "build_upload_request",
    "describe_file",
    "open_files",
    "read_chunk",
    "read_manifest",
]
