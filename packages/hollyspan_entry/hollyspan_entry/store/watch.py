"""Watch on keys of the store."""

import json

from twisted.internet import protocol
from twisted.web import client

from ..http import BytesProducer
from .codec import compute_range_end
from .codec import decode_entry
from .codec import encode_bytes

__all__ = ["Watch"]


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
        if self.stopped:
            response.deliverBody(protocol.Protocol())
            return
        if response.code != 200:
            self.end()
            return
        response.deliverBody(LineReader(watch=self))

    def handle_line(self, line):
        """Report the events of one line of the answer."""
        result = json.loads(line).get("result", {})
        for event in result.get("events", []):
            entry = decode_entry(event["kv"])
            if event.get("type") == "DELETE":
                entry.revision = 0
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


class LineReader(protocol.Protocol):
    """Splits the answer of a watch into lines."""

    def __init__(self, *, watch):
        self.watch = watch
        self.buffer = b""

    def connectionMade(self):
        self.watch.connection = self.transport

    def dataReceived(self, data):
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            if line.strip():
                self.watch.handle_line(line)

    def connectionLost(self, reason=client.ResponseDone):
        self.watch.end()
