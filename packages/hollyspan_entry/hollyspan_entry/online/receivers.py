"""What happens to the events of a stream."""

import json
import time

from ..streams import assemble_answer

__all__ = ["StreamReceiver", "WholeReceiver"]

EVENT_STREAM = b"text/event-stream; charset=utf-8"
JSON = b"application/json"
DONE = b"data: [DONE]\n\n"


class StreamReceiver:
    """Passes each event on as it comes.

    Parameters
    ----------
    sink : HttpSink or alike

    Attributes
    ----------
    first : float or None
        Monotonic seconds of the first event.
    count : int
        Events passed on.
    """

    __slots__ = ("sink", "write", "first", "count")

    def __init__(self, *, sink):
        self.sink = sink
        self.write = None
        self.first = None
        self.count = 0

    @property
    def delivered(self):
        """Whether the caller has got any part."""
        return self.first is not None

    def reset(self):
        """Prepare for a further run; nothing was delivered."""

    def take(self, offset, data):
        """Pass an event on."""
        if self.write is None:
            self.first = time.monotonic()
            self.sink.start(status=200, content_type=EVENT_STREAM)
            self.write = self.sink.write
        self.count = offset
        self.write(b"data: %b\n\n" % data)

    def pace(self, reader):
        """Pause the upstream's connection while the caller is slow."""
        self.sink.pace(reader)

    def finish(self):
        """End the answer."""
        if self.write is None:
            self.sink.start(status=200, content_type=EVENT_STREAM)
        self.sink.write(DONE)


class WholeReceiver:
    """Collects the events and sends one whole answer.

    Parameters
    ----------
    sink : HttpSink or alike
    path : str
        Path of the request.
    """

    __slots__ = ("sink", "path", "events", "first")

    delivered = False

    def __init__(self, *, sink, path):
        self.sink = sink
        self.path = path
        self.events = []
        self.first = None

    @property
    def count(self):
        """Events of the run."""
        return len(self.events)

    def reset(self):
        """Forget the events of a run that failed."""
        self.events = []
        self.first = None

    def take(self, offset, data):
        """Collect an event."""
        if self.first is None:
            self.first = time.monotonic()
        self.events.append(data)

    def pace(self, reader):
        """Nothing to do: the answer goes out in one piece."""

    def finish(self):
        """Send the answer."""
        answer = assemble_answer(self.events, path=self.path)
        body = json.dumps(answer).encode()
        self.sink.start(status=200, content_type=JSON, length=len(body))
        self.sink.write(body)
