"""Receivers of stream events that answer a caller directly."""

import json
import time

from ..streams import assemble_answer

__all__ = ["StreamReceiver", "WholeReceiver"]

EVENT_STREAM = b"text/event-stream; charset=utf-8"
JSON = b"application/json"
DONE = b"data: [DONE]\n\n"


class StreamReceiver:
    """Sends each event to the caller as it arrives.

    Parameters
    ----------
    sink : HttpSink or MessageSink
        Destination of the answer.

    Attributes
    ----------
    first_event_at : float or None
        Monotonic seconds of the first event.
    event_count : int
        Number of events sent.
    """

    __slots__ = ("sink", "write", "first_event_at", "event_count")

    keeps_events = False

    def __init__(self, *, sink):
        self.sink = sink
        self.write = None
        self.first_event_at = None
        self.event_count = 0

    @property
    def delivered(self):
        """Whether any part of the answer was sent to the caller."""
        return self.first_event_at is not None

    def reset(self):
        """Prepare for another attempt; nothing was delivered."""

    def receive_event(self, offset, data):
        """Send an event to the caller."""
        if self.write is None:
            self.first_event_at = time.monotonic()
            self.sink.start(status=200, content_type=EVENT_STREAM)
            self.write = self.sink.write
        self.event_count = offset
        self.write(b"data: %b\n\n" % data)

    def apply_backpressure(self, reader):
        """Pause the upstream's connection while the caller reads slowly."""
        self.sink.apply_backpressure(reader)

    def finish(self):
        """End the answer."""
        if self.write is None:
            self.sink.start(status=200, content_type=EVENT_STREAM)
        self.sink.write(DONE)


class WholeReceiver:
    """Collects the events and sends one complete answer.

    Parameters
    ----------
    sink : HttpSink or MessageSink
        Destination of the answer.
    path : str
        Path of the request.

    Attributes
    ----------
    first_event_at : float or None
        Monotonic seconds of the first event.
    """

    __slots__ = ("sink", "path", "events", "first_event_at")

    delivered = False
    keeps_events = True

    def __init__(self, *, sink, path):
        self.sink = sink
        self.path = path
        self.events = []
        self.first_event_at = None

    @property
    def event_count(self):
        """Number of events of this attempt."""
        return len(self.events)

    def reset(self):
        """Discard the events of a failed attempt."""
        self.events = []
        self.first_event_at = None

    def receive_event(self, offset, data):
        """Collect an event."""
        if self.first_event_at is None:
            self.first_event_at = time.monotonic()
        self.events.append(data)

    def apply_backpressure(self, reader):
        """Do nothing; the answer is sent in one piece."""

    def finish(self):
        """Send the answer."""
        answer = assemble_answer(self.events, path=self.path)
        body = json.dumps(answer).encode()
        self.sink.start(status=200, content_type=JSON, length=len(body))
        self.sink.write(body)
