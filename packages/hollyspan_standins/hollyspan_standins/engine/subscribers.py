"""Subscribers, which send the answer of a stream to a connection."""

from ..common import AnswerError
from ..common import drop_connection
from ..common import send_json
from .chunks import build_answer
from .chunks import build_event
from .chunks import DONE

__all__ = ["EventSubscriber", "PlainSubscriber"]


class EventSubscriber:
    """Subscriber that streams events as they are generated.

    Parameters
    ----------
    request : IRequest
    offset : int
        Number of events that the client has received before.
    """

    def __init__(self, *, request, offset):
        self.request = request
        self.sent = offset
        request.setHeader("content-type", "text/event-stream")
        request.setHeader("cache-control", "no-cache")
        # Sends the headers before the first event.
        request.write(b"")

    def update(self, stream):
        """Send the new events of the stream."""
        if self.request.is_disconnected:
            return
        first = self.sent + 1
        self.sent = stream.events
        parts = [build_event(stream, n) for n in range(first, self.sent + 1)]
        if stream.is_generated:
            parts.append(DONE)
        if parts:
            self.request.write(b"".join(parts))
        if stream.is_generated:
            self.request.finish()

    def end_cancelled(self):
        """End the answer of a cancelled stream without the final event."""
        if not self.request.is_disconnected:
            self.request.finish()

    def drop(self):
        """Close the connection."""
        drop_connection(self.request)


class PlainSubscriber:
    """Subscriber that sends the whole answer of a finished stream."""

    def __init__(self, *, request):
        self.request = request

    def update(self, stream):
        """Send the answer if the stream is fully generated."""
        if stream.is_generated:
            send_json(self.request, build_answer(stream))

    def end_cancelled(self):
        """Answer with the error for a cancelled stream."""
        error = AnswerError(
            status=409, code="cancelled", message="the stream was cancelled"
        )
        send_json(self.request, error.to_document(), status=error.status)

    def drop(self):
        """Close the connection."""
        drop_connection(self.request)
