"""Kept connections by address."""

from .connection import connect

__all__ = ["ConnectionPool"]

# Seconds for a new connection: many times the longest round trip, and short
# enough to try another upstream soon after an online request's aim.
CONNECT_TIMEOUT_S = 0.3


class ConnectionPool:
    """Keeps free connections for later requests.

    Parameters
    ----------
    reactor : twisted reactor

    Attributes
    ----------
    opened : int
        Count of the connections that were opened.
    """

    __slots__ = ("reactor", "free", "opened")

    def __init__(self, *, reactor):
        self.reactor = reactor
        self.free = {}
        self.opened = 0

    async def acquire(self, address, *, timeout=CONNECT_TIMEOUT_S):
        """Return a connection to an address, a kept one if there is one.

        Parameters
        ----------
        address : (str, int)
            IP address and port.
        timeout : float, optional
            Seconds for a new connection.

        Returns
        -------
        ClientConnection

        Raises
        ------
        UpstreamUnavailableError
            No connection could be made; the outcome is ``not_run``.
        """
        kept = self.free.get(address, [])
        while kept:
            connection = kept.pop()
            if connection.is_usable():
                return connection
            connection.drop()
        self.opened += 1
        connection = await connect(self.reactor, *address, timeout=timeout)
        connection.on_free = lambda freed: self.keep(address, freed)
        connection.on_lost = lambda lost: self.forget(address, lost)
        return connection

    def keep(self, address, connection):
        self.free.setdefault(address, []).append(connection)

    def forget(self, address, connection):
        kept = self.free.get(address, [])
        if connection in kept:
            kept.remove(connection)

    def drop_address(self, address):
        """Close the free connections to an address."""
        for connection in self.free.pop(address, []):
            connection.drop()

    def close(self):
        """Close all free connections."""
        for address in list(self.free):
            self.drop_address(address)
