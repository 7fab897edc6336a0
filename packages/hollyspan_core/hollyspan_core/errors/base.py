"""The root of the exception tree."""

import enum

__all__ = ["HollyspanError", "Outcome"]


class Outcome(enum.Enum):
    """What is known of the effect of a refused or failed request."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class HollyspanError(Exception):
    """Any failure that hollyspan knows by type.

    Parameters
    ----------
    message : str
        What happened, for a person. Holds no prompt text and no key.
    outcome : Outcome, optional
        Whether the request can have reached an upstream.
    param : str, optional
        The part of the input at fault.
    retry_after : float, optional
        Seconds after which the caller may try again.

    Attributes
    ----------
    status : int
        HTTP status towards callers.
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
