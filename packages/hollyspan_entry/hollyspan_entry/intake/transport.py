"""Transport as the HTTP client sees it."""

from zope.interface import directlyProvides
from zope.interface import providedBy

__all__ = ["HeldTransport"]


class HeldTransport:
    """Transport whose pauses hold the reading of a connection.

    Parameters
    ----------
    transport : ITransport
    hold, release : callable
        Called instead of a pause of the transport and its end.
    close : callable
        Called before the connection is closed from this side.

    Notes
    -----
    All other methods and attributes are those of the transport.
    """

    def __init__(self, *, transport, hold, release, close):
        self.transport = transport
        self.pauseProducing = hold
        self.resumeProducing = release
        self.close = close
        directlyProvides(self, providedBy(transport))

    def __getattr__(self, name):
        return getattr(self.transport, name)

    def loseConnection(self):
        """Close the connection."""
        self.close()
        self.transport.loseConnection()

    def abortConnection(self):
        """Reset the connection."""
        self.close()
        self.transport.abortConnection()

    def stopProducing(self):
        """Close the connection, since nothing more is wanted of it."""
        self.close()
        self.transport.stopProducing()
