"""What the head of an answer to a start or a resume of a stream means."""

import enum

__all__ = ["StreamAnswer", "classify_resume", "classify_start"]

OK_STATUS = 200
MIN_ERROR_STATUS = 400
MIN_SERVER_ERROR_STATUS = 500
# Client errors that the same call may not get a little later: request
# timeout, too early, too many requests.
PASSING_STATUSES = frozenset((408, 425, 429))
EVENT_STREAM = "text/event-stream"


class StreamAnswer(enum.Enum):
    """Meaning of an answer's head.

    Attributes
    ----------
    EVENTS
        The body is the stream.
    ERROR
        The answer is the engine's error to the request.
    UNAVAILABLE
        The stream may go on at a later resume.
    LOST
        The stream cannot be resumed.
    MALFORMED
        The answer is neither a stream nor an error.
    """

    EVENTS = "events"
    ERROR = "error"
    UNAVAILABLE = "unavailable"
    LOST = "lost"
    MALFORMED = "malformed"


def classify_start(*, status, content_type):
    """Classify the answer to the start of a stream.

    Parameters
    ----------
    status : int
    content_type : str or None
        The header; without one the bytes decide whether it is a stream.

    Returns
    -------
    StreamAnswer

    Examples
    --------
    >>> classify_start(status=206, content_type="text/event-stream")
    <StreamAnswer.MALFORMED: 'malformed'>
    """
    if is_event_stream(status, content_type):
        return StreamAnswer.EVENTS
    if status >= MIN_ERROR_STATUS:
        return StreamAnswer.ERROR
    return StreamAnswer.MALFORMED


def classify_resume(*, status, content_type):
    """Classify the answer to the resume of a stream that has started.

    Parameters
    ----------
    status : int
    content_type : str or None
        The header; without one the bytes decide whether it is a stream.

    Returns
    -------
    StreamAnswer
        Never ERROR: an error to a resume is no answer to the request, parts
        of which the caller may have.

    Examples
    --------
    >>> classify_resume(status=500, content_type="text/plain")
    <StreamAnswer.UNAVAILABLE: 'unavailable'>
    >>> classify_resume(status=404, content_type=None)
    <StreamAnswer.LOST: 'lost'>
    """
    if is_event_stream(status, content_type):
        return StreamAnswer.EVENTS
    if status >= MIN_SERVER_ERROR_STATUS or status in PASSING_STATUSES:
        return StreamAnswer.UNAVAILABLE
    return StreamAnswer.LOST


def is_event_stream(status, content_type):
    if status != OK_STATUS:
        return False
    if content_type is None:
        return True
    return content_type.partition(";")[0].strip().lower() == EVENT_STREAM
