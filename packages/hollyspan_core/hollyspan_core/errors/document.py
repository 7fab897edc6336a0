"""Errors of documents that other programs have written."""

from .base import HollyspanError

__all__ = ["DocumentInvalidError"]


class DocumentInvalidError(HollyspanError, ValueError):
    """The content is no JSON, or is nested too deeply to be read."""

    status = 400
    kind = "invalid_request_error"
    code = "document_invalid"
