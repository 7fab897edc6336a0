"""HTTP site that can be drained before a planned shutdown."""

from twisted.web import server

from hollyspan_core.errors import DrainingError

from ..intake.limits import build_shares
from ..intake.paced import PacedConnection
from ..stopping import RETRY_AFTER_S
from .channel import build_channel
from .resource import AsyncResource

__all__ = ["DrainingSite"]


class DrainingSite(server.Site):
    """Site that tracks its connections and reads them in bounded turns.

    Parameters
    ----------
    root : twisted.web.resource.Resource
    **options : object
        Passed to twisted.web.server.Site.

    Attributes
    ----------
    is_closing : bool
        True once each connection is closed after its last request.
    connections : set of HTTPChannel
        Open connections.
    accepted : int
        Number of connections accepted since the start.
    shares : WorkShares
        Work of the loop, divided between the connections.
    """

    protocol = staticmethod(build_channel)

    def __init__(self, root, **options):
        super().__init__(root, **options)
        self.is_closing = False
        self.connections = set()
        self.accepted = 0
        self.shares = build_shares()

    def buildProtocol(self, addr):
        connection = super().buildProtocol(addr)
        self.connections.add(connection)
        self.accepted += 1
        connection_lost = connection.connectionLost

        def remove_connection(reason):
            self.connections.discard(connection)
            connection_lost(reason)

        connection.connectionLost = remove_connection
        connection._channel.paced = PacedConnection(
            connection=connection, reactor=self.reactor, shares=self.shares
        )
        return connection

    def getResourceFor(self, request):
        if request.channel.is_last_told:
            return AsyncResource(handle=refuse_late)
        return super().getResourceFor(request)

    def end_requests(self, build_error):
        """End the requests that are still being answered.

        An answer that has begun is broken off.

        Parameters
        ----------
        build_error : callable
            Returns the HollyspanError with which a request is answered.

        Returns
        -------
        int
            Number of requests that were ended.
        """
        running = [
            request
            for connection in self.connections
            for request in connection._channel.requests
            if hasattr(request, "end")
        ]
        for request in running:
            request.end(build_error())
        return len(running)

    def close_idle(self):
        """Close idle connections; the others are idle after their requests."""
        self.is_closing = True
        for connection in list(self.connections):
            if connection._channel.is_idle:
                connection._channel.close_unless_used()


async def refuse_late(request, path):
    """Refuse a request that comes behind the last answer in a stop."""
    raise DrainingError("this instance stops", retry_after=RETRY_AFTER_S)
