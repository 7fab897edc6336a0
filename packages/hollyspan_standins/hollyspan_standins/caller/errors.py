"""Errors of the callers' client."""

from ..common import StandinError

__all__ = ["BatchNotDoneError", "RefusedError", "StreamCutError"]


class RefusedError(StandinError):
    """The status of an answer is not a success.

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
        Text received before the stream ended.
    reason : object
        Exception, error object of the event, or text.
    """

    def __init__(self, *, text, reason):
        super().__init__(f"after {len(text)} characters: {reason}")
        self.text = text
        self.reason = reason


class BatchNotDoneError(StandinError):
    """A batch did not end in time."""

    def __init__(self, *, batch, seconds):
        super().__init__(f"not done after {seconds} s: {batch}")
