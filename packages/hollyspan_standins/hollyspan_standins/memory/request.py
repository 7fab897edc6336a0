"""In-memory request of a client."""

import types

__all__ = ["MemoryRequest"]


class MemoryRequest:
    """Request of a client that records its answer."""

    def __init__(self, *, reactor, body=b"{}", identifier=None):
        self.reactor = reactor
        self.identifier = identifier
        self.gateway = None
        self.content = types.SimpleNamespace(getvalue=lambda: body)
        self.arrived_at = reactor.seconds()
        self.is_open = True
        self.is_too_large = False
        self.refusal = None
        self.on_disconnect = None
        self.status = None
        self.headers = []
        self.begun_at = None
        self.written = b""
        self.is_ended = False
        self.is_aborted = False

    def take_room(self):
        """Return None, since no room is held for the body."""

    def begin(self, status, headers):
        assert self.status is None
        self.status = status
        self.headers = list(headers)
        self.begun_at = self.reactor.seconds()

    def write(self, data):
        assert self.status is not None
        self.written += data

    def answer(self, status, headers, body):
        self.begin(status, headers)
        self.written += body
        self.end()

    def setHeader(self, name, value):
        pass

    def is_served(self):
        """Return whether the answer is a complete success."""
        return self.is_ended and self.status == 200

    def end(self):
        self.is_ended = True
        self.is_open = False

    def abort(self):
        self.is_aborted = True
        self.is_open = False
