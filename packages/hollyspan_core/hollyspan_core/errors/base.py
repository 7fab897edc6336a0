"""Base class of the exception hierarchy."""

import enum

__all__ = ["HollyspanError", "Outcome"]


class Outcome(enum.Enum):
    """Whether a rejected or failed request may have run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class HollyspanError(Exception):
    """Base class of all errors that hollyspan raises.

    Parameters
    ----------
    message : str
        Human-readable description. Must not contain prompt text or keys.
    outcome : Outcome, optional
        Whether the request may have reached an upstream.
    param : str, optional
        Name of the invalid part of the input.
    retry_after : float, optional
        Seconds after which the caller may retry.

    Attributes
    ----------
    status : int
        HTTP status of the response to the caller.
    kind : str
        The `type` member of the error object.
    code : str
        The `code` member of the error object.
    """

    status = 500
    kind = "server_error"
    code = "internal_error"
    default_outcome = Outcome.UNKNOWN

    def __init__(self, message, *, outcome=None, param=None, retry_after=None):
        super().__init__(message)
        self.message = message
        self.outcome = outcome or self.default_outcome
        self.param = param
        self.retry_after = retry_after
