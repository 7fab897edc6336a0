"""Site that can be emptied before a planned stop."""

from twisted.web import server

__all__ = ["DrainingSite"]


class DrainingSite(server.Site):
    """Keeps track of its connections.

    Parameters
    ----------
    root : twisted.web.resource.Resource
    **options : object
        As for twisted.web.server.Site.

    Attributes
    ----------
    is_closing : bool
        True once each connection ends with its current request.
    """

    def __init__(self, root, **options):
        super().__init__(root, **options)
        self.is_closing = False
        self.connections = set()

    def buildProtocol(self, addr):
        connection = super().buildProtocol(addr)
        self.connections.add(connection)
        lose = connection.connectionLost

        def forget(reason):
            self.connections.discard(connection)
            lose(reason)

        connection.connectionLost = forget
        return connection

    def getResourceFor(self, request):
        if self.is_closing:
            request.setHeader(b"connection", b"close")
            request.channel.persistent = False
        return super().getResourceFor(request)

    def close_idle(self):
        """Close the connections without a request; others end with theirs."""
        self.is_closing = True
        for connection in list(self.connections):
            channel = connection._channel
            if channel.requests:
                channel.persistent = False
            else:
                channel.loseConnection()
