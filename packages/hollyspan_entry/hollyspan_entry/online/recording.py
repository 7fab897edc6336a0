"""Receiver that records events while sending them to the caller."""

import json
import time

from ..once import Answer
from ..streams import assemble_answer

__all__ = ["RecordingReceiver"]

DONE = b"data: [DONE]\n\n"
EVENT_STREAM = "text/event-stream; charset=utf-8"
JSON = "application/json"


class RecordingReceiver:
    """Records the events of a stream and passes them to a live receiver.

    Parameters
    ----------
    path : str
        Path of the request.
    streamed : bool
        Whether the recorded answer is an event stream.
    live_receiver : StreamReceiver or None
        Receives each event as it arrives.

    Attributes
    ----------
    first_event_at : float or None
        Monotonic seconds of the first event.
    delivered : bool
        True once any event was passed to the live receiver.
    """

    __slots__ = (
        "path",
        "streamed",
        "live_receiver",
        "events",
        "first_event_at",
        "delivered",
    )

    keeps_events = True

    def __init__(self, *, path, streamed, live_receiver):
        self.path = path
        self.streamed = streamed
        self.live_receiver = live_receiver
        self.events = []
        self.first_event_at = None
        self.delivered = False

    @property
    def event_count(self):
        """Number of events of this attempt."""
        return len(self.events)

    def reset(self):
        """Discard the events of a failed attempt."""
        self.events = []
        self.first_event_at = None

    def receive_event(self, offset, data):
        """Record an event and pass it to the live receiver."""
        if self.first_event_at is None:
            self.first_event_at = time.monotonic()
        self.events.append(data)
        if self.live_receiver is not None:
            self.delivered = True
            self.live_receiver.receive_event(offset, data)

    def detach(self):
        """Detach the live receiver after the caller has disconnected."""
        self.live_receiver = None

    def apply_backpressure(self, reader):
        """Do nothing; the run does not wait for a slow caller."""

    def build_answer(self):
        """Return the complete answer.

        Returns
        -------
        Answer
        """
        if not self.streamed:
            document = assemble_answer(self.events, path=self.path)
            body = json.dumps(document).encode()
            return Answer(status=200, content_type=JSON, body=body)
        parts = [b"data: %b\n\n" % data for data in self.events]
        return Answer(
            status=200,
            content_type=EVENT_STREAM,
            body=b"".join([*parts, DONE]),
        )
