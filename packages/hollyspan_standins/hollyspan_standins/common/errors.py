"""Errors of the stand-ins."""

__all__ = ["StandinError", "AnswerError"]


class StandinError(Exception):
    """Base class of all errors of this package."""


class AnswerError(StandinError):
    """A request is answered with an error in the format of the OpenAI API.

    Parameters
    ----------
    status : int
        HTTP status.
    code : str
        Machine-readable error code.
    message : str
        Human-readable message.
    headers : dict, optional
        Additional headers of the answer.
    """

    def __init__(self, *, status, code, message, headers=None):
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.headers = headers or {}

    def to_document(self):
        """Return the body of the answer."""
        kind = "server_error"
        if self.status < 500:
            kind = "invalid_request_error"
        return {
            "error": {
                "message": self.message,
                "type": kind,
                "param": None,
                "code": self.code,
            }
        }
