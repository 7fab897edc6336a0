"""Server whose answers don't end."""

from twisted.internet import interfaces
from twisted.internet import protocol
from zope.interface import implementer

__all__ = ["EndlessServer"]

HEAD_END = b"\r\n\r\n"


class EndlessServer(protocol.Factory):
    """Server that answers each request until the connection is closed.

    Parameters
    ----------
    start : bytes
        Sent first.
    block : bytes
        Sent again and again behind it.

    Attributes
    ----------
    connections : list of EndlessConnection
        All connections that were accepted.
    """

    noisy = False

    def __init__(self, *, start, block):
        self.start = start
        self.block = block
        self.connections = []

    def buildProtocol(self, addr):
        connection = EndlessConnection(server=self)
        self.connections.append(connection)
        return connection

    def close(self):
        """Close all connections."""
        for connection in self.connections:
            connection.transport.abortConnection()


@implementer(interfaces.IPullProducer)
class EndlessConnection(protocol.Protocol):
    """One connection of an endless server.

    Attributes
    ----------
    is_open : bool
        False once the other side has closed the connection.
    """

    def __init__(self, *, server):
        self.server = server
        self.buffer = b""
        self.is_answering = False
        self.is_open = True

    def dataReceived(self, data):
        self.buffer += data
        if HEAD_END in self.buffer and not self.is_answering:
            self.is_answering = True
            self.transport.write(self.server.start)
            self.transport.registerProducer(self, False)

    def resumeProducing(self):
        """Send the next block."""
        self.transport.write(self.server.block)

    def stopProducing(self):
        """Do nothing; the connection is lost."""

    def connectionLost(self, reason=protocol.connectionDone):
        self.is_open = False
