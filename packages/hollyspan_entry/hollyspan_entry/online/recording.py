"""Events that are kept while they are passed on."""

import json
import time

from ..once import Answer
from ..streams import assemble_answer

__all__ = ["RecordingReceiver"]

DONE = b"data: [DONE]\n\n"
EVENT_STREAM = "text/event-stream; charset=utf-8"
JSON = "application/json"


class RecordingReceiver:
    """Collects the events of a stream and passes them on to a caller.

    Parameters
    ----------
    path : str
        Path of the request.
    streamed : bool
    live : StreamReceiver or None
        Gets each event as it comes.
    """

    __slots__ = ("path", "streamed", "live", "events", "first", "delivered")

    def __init__(self, *, path, streamed, live):
        self.path = path
        self.streamed = streamed
        self.live = live
        self.events = []
        self.first = None
        self.delivered = False

    @property
    def count(self):
        """Events of the run."""
        return len(self.events)

    def reset(self):
        """Forget the events of a run that failed."""
        self.events = []
        self.first = None

    def take(self, offset, data):
        """Collect an event and pass it on."""
        if self.first is None:
            self.first = time.monotonic()
        self.events.append(data)
        if self.live is not None:
            self.delivered = True
            self.live.take(offset, data)

    def detach(self):
        """Pass nothing on any more; the caller is gone."""
        self.live = None

    def pace(self, reader):
        """Nothing to do: the run does not wait for its caller."""

    def build_answer(self):
        """Return the whole answer.

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
