"""Watch on keys of the store."""

import json

import eliot
from twisted.internet import protocol
from twisted.web import client

from hollyspan_core.errors import StreamMalformedError
from hollyspan_policy.intake import IntakeMeter

from ..http import BytesProducer
from ..intake import count_pieces
from ..intake.limits import CONTROL_KEPT
from ..intake.limits import WATCH_LINE
from .codec import compute_range_end
from .codec import decode_entry
from .codec import encode_bytes

__all__ = ["Watch"]

DECODING_ERRORS = (
    AttributeError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)


class Watch:
    """Watch on the keys below a prefix.

    Parameters
    ----------
    on_event : callable
        Called with an Entry for each change.
    on_lost : callable
        Called once when the watch has ended, unless it was ended by `stop`.
    """

    __slots__ = ("on_event", "on_lost", "connection", "stopped", "request")

    def __init__(self, *, on_event, on_lost):
        self.on_event = on_event
        self.on_lost = on_lost
        self.connection = None
        self.request = None
        self.stopped = False

    def start(self, *, agent, url, prefix, revision):
        """Send the request of the watch."""
        body = {
            "create_request": {
                "key": encode_bytes(prefix.encode()),
                "range_end": encode_bytes(compute_range_end(prefix)),
            }
        }
        if revision:
            body["create_request"]["start_revision"] = str(revision)
        self.request = agent.request(
            b"POST",
            f"{url}/v3/watch".encode(),
            bodyProducer=BytesProducer(content=json.dumps(body).encode()),
        )
        self.request.addCallbacks(self.receive, lambda _: self.end())

    def receive(self, response):
        """Start reading the answer of the store line by line."""
        if self.stopped or response.code != 200:
            response.deliverBody(ClosingReader())
            self.end()
        else:
            response.deliverBody(LineReader(watch=self))

    def handle_line(self, line):
        """Report the events of one line of the answer."""
        for entry in decode_line(line):
            if not self.stopped:
                self.on_event(entry)

    def end(self):
        """Report the end of the watch."""
        if not self.stopped:
            self.stopped = True
            self.on_lost()

    def stop(self):
        """End the watch without calling `on_lost`."""
        self.stopped = True
        if self.connection is not None:
            self.connection.loseConnection()
        elif self.request is not None:
            self.request.cancel()


def decode_line(line):
    """Return the entries that a line of a watch reports as changed.

    Raises
    ------
    StreamMalformedError
    """
    entries = []
    try:
        result = json.loads(line).get("result", {})
        for event in result.get("events", []):
            entry = decode_entry(event["kv"])
            if event.get("type") == "DELETE":
                entry.revision = 0
            entries.append(entry)
    except DECODING_ERRORS as error:
        raise StreamMalformedError("a line of a watch is malformed") from error
    return entries


class ClosingReader(protocol.Protocol):
    """Closes the connection of an answer that is not read."""

    def connectionMade(self):
        self.transport.loseConnection()


class LineReader(protocol.Protocol):
    """Splits the answer of a watch into lines."""

    def __init__(self, *, watch):
        self.watch = watch
        self.parts = []
        self.meter = IntakeMeter(limits=WATCH_LINE)
        self.account = CONTROL_KEPT.open_account(sender=watch)
        self.keep = None

    def connectionMade(self):
        self.keep = self.account.__enter__()
        self.watch.connection = self.transport

    def dataReceived(self, data):
        if self.keep is None:
            return
        try:
            self.read(data)
        except StreamMalformedError as error:
            eliot.log_message(
                message_type="store:watch-malformed", reason=error.message
            )
            self.transport.loseConnection()
            self.finish()

    def read(self, data):
        """Handle the lines that some bytes complete; keep the rest."""
        *lines, rest = data.split(b"\n")
        count_pieces(1 + len(lines))
        for line in lines:
            self.append(line)
            self.keep(-self.meter.content_bytes)
            line = b"".join(self.parts)
            self.parts.clear()
            self.meter = IntakeMeter(limits=WATCH_LINE)
            if line.strip():
                self.watch.handle_line(line)
        if rest:
            self.append(rest)

    def append(self, data):
        """Keep a part of a line."""
        self.meter.count(len(data))
        self.keep(len(data))
        self.parts.append(data)

    def connectionLost(self, reason=client.ResponseDone):
        self.finish()

    def finish(self):
        """Drop what is kept and report the end of the watch."""
        if self.keep is None:
            return
        self.keep = None
        self.parts.clear()
        self.account.__exit__(None, None, None)
        self.watch.end()
