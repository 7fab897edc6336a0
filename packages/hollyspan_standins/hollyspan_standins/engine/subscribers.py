"""The connections that wait for a stream."""

from ..common import AnswerError
from ..common import drop_connection
from ..common import send_json
from .chunks import build_answer
from .chunks import build_event
from .chunks import DONE

__all__ = ["EventSubscriber", "PlainSubscriber"]


class EventSubscriber:
    """Sends each event as it comes.

    Parameters
    ----------
    request : IRequest
    offset : int
        Number of events that the other side has.
    """

    def __init__(self, *, request, offset):
        self.request = request
        self.sent = offset
        request.setHeader("content-type", "text/event-stream")
        request.setHeader("cache-control", "no-cache")
        # Sends the headers before the first event.
        request.write(b"")

    def tell(self, stream):
        """Send what is new."""
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
        """End the answer of a cancelled stream, without a last event."""
        if not self.request.is_disconnected:
            self.request.finish()

    def drop(self):
        """Close the connection."""
        drop_connection(self.request)


class PlainSubscriber:
    """Sends the answer once it is whole."""

    def __init__(self, *, request):
        self.request = request

    def tell(self, stream):
        """Send the answer if it is whole."""
        if stream.is_generated:
            send_json(self.request, build_answer(stream))

    def end_cancelled(self):
        """Tell that the stream was cancelled."""
        error = AnswerError(
            status=409, code="cancelled", message="the stream was cancelled"
        )
        send_json(self.request, error.to_document(), status=error.status)

    def drop(self):
        """Close the connection."""
        drop_connection(self.request)
