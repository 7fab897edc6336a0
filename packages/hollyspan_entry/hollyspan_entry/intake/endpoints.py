"""Endpoints of the daemon's HTTP clients."""

from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.web import client
from twisted.web import iweb
from zope.interface import implementer

from .connection import ClientConnection

__all__ = ["EndpointFactory"]


@implementer(iweb.IAgentEndpointFactory)
class EndpointFactory:
    """Builds the endpoints of an agent whose connections are limited.

    Parameters
    ----------
    reactor : twisted reactor
    timeout : float
        Timeout for a connection in seconds.
    shares : WorkShares
    """

    __slots__ = ("reactor", "timeout", "shares")

    def __init__(self, *, reactor, timeout, shares):
        self.reactor = reactor
        self.timeout = timeout
        self.shares = shares

    def endpointForURI(self, uri):
        """Return the endpoint that leads to a URI."""
        endpoint = endpoints.HostnameEndpoint(
            self.reactor, uri.host, uri.port, timeout=self.timeout
        )
        if uri.scheme == b"https":
            policy = client.BrowserLikePolicyForHTTPS()
            endpoint = endpoints.wrapClientTLS(
                policy.creatorForNetloc(uri.host, uri.port), endpoint
            )
        return LimitedEndpoint(
            endpoint=endpoint, reactor=self.reactor, shares=self.shares
        )


class LimitedEndpoint:
    """Endpoint whose connections are limited.

    Parameters
    ----------
    endpoint : IStreamClientEndpoint
    reactor : IReactorTime
    shares : WorkShares
    """

    __slots__ = ("endpoint", "reactor", "shares")

    def __init__(self, *, endpoint, reactor, shares):
        self.endpoint = endpoint
        self.reactor = reactor
        self.shares = shares

    def connect(self, factory):
        """Connect with a factory; see IStreamClientEndpoint."""
        return self.endpoint.connect(
            LimitedFactory(
                factory=factory, reactor=self.reactor, shares=self.shares
            )
        )


class LimitedFactory(protocol.Factory):
    """Factory whose connections are limited."""

    noisy = False

    def __init__(self, *, factory, reactor, shares):
        self.factory = factory
        self.reactor = reactor
        self.shares = shares

    def buildProtocol(self, addr):
        connection = self.factory.buildProtocol(addr)
        ClientConnection(
            connection=connection, reactor=self.reactor, shares=self.shares
        )
        return connection
