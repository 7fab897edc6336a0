"""TCP links, based on Twisted's port forwarding."""

from twisted.protocols.portforward import ProxyClient
from twisted.protocols.portforward import ProxyClientFactory
from twisted.protocols.portforward import ProxyFactory
from twisted.protocols.portforward import ProxyServer

from .pipe import Pipe

__all__ = ["TcpFactory"]


class SourceProducer:
    """Producer that pauses and resumes the transport that data comes from.

    Notes
    -----
    A transport that loses its connection calls ``stopProducing``. Closing the
    other transport there would discard data still queued for it.
    """

    def __init__(self, *, transport):
        self.pauseProducing = transport.pauseProducing
        self.resumeProducing = transport.resumeProducing

    def stopProducing(self):
        """Do nothing, as the pipes close the transports."""


class LinkClient(ProxyClient):
    """Connection to the target, which carries replies."""

    def connectionMade(self):
        server = self.factory.server
        self.link = server.link
        self.pipe = Pipe(
            link=self.link,
            write=server.transport.write,
            close=server.transport.loseConnection,
        )
        server.setPeer(self)
        self.transport.registerProducer(
            SourceProducer(transport=server.transport), True
        )
        server.transport.registerProducer(
            SourceProducer(transport=self.transport), True
        )
        server.open_pipe(self)
        server.transport.resumeProducing()

    def dataReceived(self, data):
        if self.link.consume_dropped_reply():
            self.factory.server.abort()
            return
        self.link.reply_bytes += len(data)
        self.pipe.push(data)

    def connectionLost(self, reason):
        self.pipe.push(None)


class LinkClientFactory(ProxyClientFactory):
    """Connects to the target."""

    protocol = LinkClient
    noisy = False


class LinkServer(ProxyServer):
    """Connection from the source, which carries requests."""

    clientProtocolFactory = LinkClientFactory
    pipe = None
    client = None
    is_lost = False

    def connectionMade(self):
        self.link = self.factory.link
        if self.link.cut:
            self.transport.abortConnection()
            return
        self.link.connections.add(self)
        super().connectionMade()

    def open_pipe(self, client):
        """Start to forward requests after the target has been connected."""
        self.client = client
        if self.is_lost:
            client.transport.abortConnection()
            return
        self.pipe = Pipe(
            link=self.link,
            write=client.transport.write,
            close=client.transport.loseConnection,
        )

    def dataReceived(self, data):
        self.link.request_bytes += len(data)
        if self.pipe is not None:
            self.pipe.push(data)

    def connectionLost(self, reason):
        self.is_lost = True
        self.link.connections.discard(self)
        if self.pipe is not None:
            self.pipe.push(None)

    def abort(self):
        """Abort both connections and discard queued data."""
        if self.client is not None:
            self.client.pipe.discard()
            self.client.transport.abortConnection()
        if self.pipe is not None:
            self.pipe.discard()
        self.transport.abortConnection()


class TcpFactory(ProxyFactory):
    """Accepts the connections of one link.

    Parameters
    ----------
    link : Link
    """

    protocol = LinkServer
    noisy = False

    def __init__(self, *, link):
        super().__init__(link.host, link.target)
        self.link = link
