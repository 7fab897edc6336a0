"""Pool of idle connections by address."""

import math

from hollyspan_core.errors import UpstreamConnectionRefusedError

from .connection import connect
from .intake import Intake

__all__ = ["ConnectionPool"]

# Many times the longest round trip, and short enough to try another upstream
# soon after an online request's latency target.
CONNECT_TIMEOUT_S = 0.3
# Time after which a new connection that is still open was not closed at once:
# several round trips between regions.
HOLD_S = 0.1


class ConnectionPool:
    """Keeps idle connections for later requests.

    Parameters
    ----------
    reactor : twisted reactor
    source_ip : str, optional
        Address of this machine to connect from, by which peers know it.
    intake : Intake, optional
        Bounds on what is read over all connections.
    max_idle_seconds : float, optional
        Time without an answer after which a connection is not used again,
        since it may have fallen silent; no limit by default.

    Attributes
    ----------
    opened : int
        Number of connections opened so far.
    must_hold : callable
        Called with an address; returns whether a new connection has to stay
        open for a moment before it is used.
    on_open : callable
        Called with the address of each connection that was opened, and has
        stayed open if it must.
    on_refused : callable
        Called with the address of each connection that was refused.
    on_closed_early : callable
        Called with the address of each idle connection that was closed before
        the timeout that the other end has named.
    on_idle_lost : callable
        Called with the address of each idle connection that was closed at
        the other end.
    """

    __slots__ = (
        "reactor",
        "source_ip",
        "intake",
        "max_idle_seconds",
        "idle",
        "opened",
        "must_hold",
        "on_open",
        "on_idle_lost",
        "on_refused",
        "on_closed_early",
    )

    def __init__(
        self,
        *,
        reactor,
        source_ip=None,
        intake=None,
        max_idle_seconds=math.inf,
    ):
        self.reactor = reactor
        self.source_ip = source_ip
        self.max_idle_seconds = max_idle_seconds
        self.intake = intake or Intake(reactor=reactor)
        self.idle = {}
        self.opened = 0
        self.must_hold = lambda address: False
        self.on_open = lambda address: None
        self.on_idle_lost = lambda address: None
        self.on_refused = lambda address: None
        self.on_closed_early = lambda address: None

    async def acquire(
        self, address, *, timeout=CONNECT_TIMEOUT_S, identifier=None
    ):
        """Return a connection to an address, an idle one if available.

        Parameters
        ----------
        address : (str, int)
            IP address and port.
        timeout : float, optional
            Timeout in seconds for a new connection.
        identifier : str, optional
            Identifier of the request. A connection that has carried it before
            is not returned, since a late copy of that answer could not be
            told from the answer to this request.

        Returns
        -------
        ClientConnection

        Raises
        ------
        UpstreamUnavailableError
            No connection could be established; the outcome is ``not_run``.
        """
        connections = self.idle.get(address, [])
        for connection in reversed(list(connections)):
            if not connection.is_usable():
                connections.remove(connection)
                connection.abort()
            elif not connection.has_carried(identifier):
                connections.remove(connection)
                return connection
        return await self.open(address, timeout=timeout)

    async def open_idle(self, address, *, hold_seconds=HOLD_S):
        """Open a connection to an address and keep it for later requests.

        Parameters
        ----------
        address : (str, int)
            IP address and port.
        hold_seconds : float, optional
            Time for which it has to stay open.

        Raises
        ------
        UpstreamConnectionRefusedError
            Nothing listens there.
        UpstreamUnavailableError
            No connection could be established for another reason, or it was
            closed at once.
        """
        connection = await self.open(
            address, timeout=CONNECT_TIMEOUT_S, hold_seconds=hold_seconds
        )
        self.add_idle(address, connection)

    def connect(self, address, *, timeout):
        """Return a Deferred of a new connection, see `connect`."""
        return connect(
            self.reactor,
            *address,
            timeout=timeout,
            source_ip=self.source_ip,
            intake=self.intake,
        )

    async def open(self, address, *, timeout, hold_seconds=0.0):
        self.opened += 1
        try:
            connection = await self.connect(address, timeout=timeout)
        except UpstreamConnectionRefusedError:
            self.on_refused(address)
            raise
        connection.on_free = lambda freed: self.add_idle(address, freed)
        connection.on_lost = lambda lost: self.remove_idle(address, lost)
        if self.must_hold(address):
            hold_seconds = HOLD_S
        if hold_seconds:
            await connection.hold(hold_seconds)
        self.on_open(address)
        return connection

    def has_idle(self, address):
        """Return whether a request can be sent without a new connection."""
        return any(
            connection.is_usable() for connection in self.idle.get(address, ())
        )

    def list_idle(self, address):
        """Return the times at which the idle connections were opened."""
        return [
            connection.opened_at
            for connection in self.idle.get(address, ())
            if not connection.is_lost
        ]

    def add_idle(self, address, connection):
        if self.max_idle_seconds < math.inf:
            connection.limit_use(
                self.reactor.seconds() + self.max_idle_seconds
            )
        self.idle.setdefault(address, []).append(connection)

    def remove_idle(self, address, connection):
        connections = self.idle.get(address, [])
        if connection in connections:
            connections.remove(connection)
            self.on_idle_lost(address)
            if connection.has_time_left():
                self.on_closed_early(address)

    def drop_address(self, address):
        """Close the idle connections to an address."""
        for connection in self.idle.pop(address, []):
            connection.abort()

    def close(self):
        """Close all idle connections."""
        for address in list(self.idle):
            self.drop_address(address)
