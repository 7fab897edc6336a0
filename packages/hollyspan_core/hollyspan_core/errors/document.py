"""Errors of documents that other programs have written."""

from .base import HollyspanError

__all__ = ["DocumentInvalidError"]


class DocumentInvalidError(HollyspanError, ValueError):
    """The content is no JSON, is nested too deeply, or has a wrong value."""

    status = 400
    kind = "invalid_request_error"
    code = "document_invalid"
