"""Errors of input that exceeds the limits on what is read."""

from .upstream import StreamMalformedError

__all__ = ["IntakeExceededError", "IntakeFullError"]


class IntakeExceededError(StreamMalformedError):
    """Another program sends more than may be read of it.

    It keeps the code of malformed answers, which all builds know.
    """


class IntakeFullError(IntakeExceededError):
    """This process keeps too much already; the sender need not be at fault."""
