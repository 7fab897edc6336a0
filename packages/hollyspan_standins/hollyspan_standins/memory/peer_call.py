"""HTTP calls between the gateways of the fleet in memory."""

import io

from twisted.web.http_headers import Headers

from hollyspan_core.errors import StreamLostError
from hollyspan_gateway.daemon import answer_internal

__all__ = ["PeerCall"]

ONE_WAY_DELAY_S = 0.002


class PeerCall:
    """Request from one gateway to another, in place of a ClientRequest.

    Parameters
    ----------
    reactor : task.Clock
    connection : MemoryConnection
        Carries the request.
    sender : str
        Address of the gateway that sends it.
    target : Gateway

    Attributes
    ----------
    is_open : bool
    is_dead : bool
        True once the process of one of the two has ended.
    """

    def __init__(self, *, reactor, connection, sender, target):
        exchange = connection.exchange
        self.reactor = reactor
        self.connection = connection
        self.sender = sender
        self.target = target
        self.method = exchange.method
        self.uri = exchange.target
        self.content = io.BytesIO(exchange.body)
        self.requestHeaders = Headers()
        for name, value in exchange.headers:
            self.requestHeaders.addRawHeader(name, value)
        self.arrived_at = 0.0
        self.is_too_large = False
        self.refusal = None
        self.is_open = True
        self.is_dead = False
        self.on_disconnect = None
        self.status = None
        self.head_headers = []

    def start(self):
        """Let the other gateway handle the request."""
        self.connection.on_cancel = self.disconnect
        self.reactor.callLater(ONE_WAY_DELAY_S, self.arrive)

    def arrive(self):
        if self.is_open:
            self.arrived_at = self.reactor.seconds()
            answer_internal(self.target, self)

    def disconnect(self):
        """End the request: its connection has been closed."""
        self.is_open = False
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        if on_disconnect is not None:
            on_disconnect()

    def break_off(self):
        """Break the connection: one of the two processes has ended."""
        if self.is_dead:
            return
        self.is_dead = True
        is_answered = not self.is_open
        self.disconnect()
        if not is_answered:
            self.connection.exchange.on_failure(
                StreamLostError("connection closed")
            )

    def getClientIP(self):
        return self.sender

    def getHeader(self, name):
        values = self.requestHeaders.getRawHeaders(name)
        return values[0] if values else None

    def setHeader(self, name, value):
        self.head_headers.append((name.lower(), value))

    def begin(self, status, headers):
        self.status = status
        self.head_headers += [(name.lower(), value) for name, value in headers]

    def deliver(self, function, *arguments):
        """Call a function of the exchange after the way back."""

        def arrive():
            if not (self.connection.is_cancelled or self.is_dead):
                function(*arguments)

        self.reactor.callLater(ONE_WAY_DELAY_S, arrive)

    def send_head(self):
        if self.head_headers is not None:
            headers, self.head_headers = self.head_headers, None
            self.deliver(
                self.connection.exchange.on_head, self.status, headers
            )

    def write(self, data):
        self.send_head()
        self.deliver(self.connection.exchange.on_data, data)

    def answer(self, status, headers, body):
        if not self.is_open:
            return
        self.begin(status, headers)
        if body:
            self.write(body)
        self.end()

    def end(self):
        self.on_disconnect = None
        if self.is_open:
            self.is_open = False
            self.send_head()
            self.deliver(self.connection.end)

    def abort(self):
        self.on_disconnect = None
        if self.is_open:
            self.is_open = False
            self.deliver(
                self.connection.exchange.on_failure,
                StreamLostError("connection closed"),
            )
