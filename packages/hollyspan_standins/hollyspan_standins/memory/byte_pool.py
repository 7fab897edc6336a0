"""Client connections in memory, for tests that provide the bytes."""

from twisted.internet import defer
from twisted.internet.testing import StringTransport
from twisted.python import failure

from hollyspan_gateway.http1 import ClientConnection
from hollyspan_gateway.http1 import ConnectionPool

__all__ = ["BytePool"]

HEAD_END = b"\r\n\r\n"


class BytePool(ConnectionPool):
    """Connection pool whose connections get the bytes of the test.

    Attributes
    ----------
    answers : list of (bytes or callable, Exception or None)
        Bytes that answer the next requests, or a function that takes the head
        of the request and returns them, and the reason with which the
        connection is lost behind them; None for one that stays open.
    requests : list of (ClientConnection, bytes)
        Connection and head of each request that was sent.
    """

    def __init__(self, *, reactor):
        super().__init__(reactor=reactor)
        self.answers = []
        self.requests = []

    def connect(self, address, *, timeout):
        connection = ClientConnection(
            reactor=self.reactor,
            opened=defer.Deferred(),
            intake=self.intake,
            sender=address,
        )
        connection.makeConnection(
            ByteTransport(on_write=lambda data: self.answer(connection, data))
        )
        return connection.opened

    def answer(self, connection, request):
        """Send the next answer once the request has been sent."""
        head = request.partition(HEAD_END)[0]
        self.requests.append((connection, head))
        content, reason = self.answers.pop(0)
        if callable(content):
            content = content(head)
        self.reactor.callLater(0, self.deliver, connection, content, reason)

    def deliver(self, connection, content, reason):
        if content and not connection.transport.is_aborted:
            connection.dataReceived(content)
        if reason is not None and not connection.transport.is_aborted:
            connection.connectionLost(failure.Failure(reason))


class ByteTransport(StringTransport):
    """Transport that passes on what is written, and can be aborted."""

    def __init__(self, *, on_write):
        super().__init__()
        self.on_write = on_write
        self.is_aborted = False

    def write(self, data):
        self.on_write(data)

    def setTcpNoDelay(self, enabled):
        pass

    def getHandle(self):
        return HandleWithoutOptions()

    def abortConnection(self):
        self.is_aborted = True


class HandleWithoutOptions:
    """Handle of a socket that ignores its options."""

    def setsockopt(self, *options):
        """Do nothing."""
