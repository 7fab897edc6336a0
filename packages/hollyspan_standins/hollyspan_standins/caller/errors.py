"""Failures that a caller sees."""

from ..common import StandinError

__all__ = ["BatchNotDoneError", "RefusedError", "StreamCutError"]


class RefusedError(StandinError):
    """The answer is an error.

    Parameters
    ----------
    status : int
    body : bytes
    """

    def __init__(self, *, status, body):
        super().__init__(f"{status}: {body[:500]!r}")
        self.status = status
        self.body = body


class StreamCutError(StandinError):
    """A stream ended before its last event, or with an error event.

    Parameters
    ----------
    text : str
        What came before.
    reason : object
    """

    def __init__(self, *, text, reason):
        super().__init__(f"after {len(text)} characters: {reason}")
        self.text = text
        self.reason = reason


class BatchNotDoneError(StandinError):
    """A batch was not done within its time limit."""

    def __init__(self, *, batch, seconds):
        super().__init__(f"not done after {seconds} s: {batch}")
