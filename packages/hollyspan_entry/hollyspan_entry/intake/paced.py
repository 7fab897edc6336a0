"""Reading of one connection in turns of bounded work."""

from twisted.internet import interfaces
from zope.interface import alsoProvides

from hollyspan_core.intake import find_end_reason
from hollyspan_core.intake import TurnReader

from .endings import note_end
from .limits import MIN_CHARGE_PIECES
from .limits import TURN_PIECES
from .tally import get_piece_count
from .transport import HeldTransport

__all__ = ["PacedConnection"]


class PacedConnection:
    """Reads one connection in turns of bounded work.

    Parameters
    ----------
    connection : IProtocol
        New protocol without a transport; it is called instead of by its
        transport by this object.
    reactor : IReactorTime
    shares : WorkShares
        Work of the loop, divided between the programs it reads from.

    Attributes
    ----------
    sender : tuple of (str, int)
        Address of the other program.
    uncharged : int
        Work that the sender is still to be charged for, pieces.
    is_closing : bool
        True once the connection is closed from this side.
    """

    __slots__ = (
        "reactor",
        "shares",
        "connect",
        "feed",
        "report_loss",
        "socket_transport",
        "transport",
        "turns",
        "sender",
        "is_closing",
        "uncharged",
    )

    def __init__(self, *, connection, reactor, shares):
        self.reactor = reactor
        self.shares = shares
        self.connect = connection.makeConnection
        self.feed = connection.dataReceived
        self.report_loss = connection.connectionLost
        connection.makeConnection = self.start
        connection.dataReceived = self.receive
        connection.connectionLost = self.end
        connection.readConnectionLost = self.end_reading
        connection.writeConnectionLost = ignore_end_of_writing
        alsoProvides(connection, interfaces.IHalfCloseableProtocol)
        self.socket_transport = None
        self.transport = None
        self.turns = None
        self.sender = None
        self.is_closing = False
        self.uncharged = 0

    def start(self, transport):
        """Begin to read a transport."""
        self.socket_transport = transport
        peer = transport.getPeer()
        self.sender = (peer.host, peer.port)
        self.turns = TurnReader(
            reactor=self.reactor,
            transport=transport,
            parse=self.parse,
            charge=self.charge,
            on_end=self.report_end,
            ask=self.ask,
            turn_work=TURN_PIECES,
        )
        self.transport = HeldTransport(
            transport=transport,
            hold=self.turns.hold,
            release=self.turns.release,
            close=self.close,
        )
        self.connect(self.transport)

    def receive(self, data):
        """Read received bytes, now or later."""
        if not self.is_closing:
            self.turns.receive(data)

    def parse(self, data):
        """Hand a slice to the protocol; return its work."""
        count = get_piece_count()
        self.feed(data)
        return 1 + get_piece_count() - count

    def ask(self):
        """Return the seconds until the sender may be read."""
        if self.sender not in self.shares.excess:
            return 0.0
        return self.shares.find_wait(self.sender, now=self.reactor.seconds())

    def charge(self, work):
        """Charge the sender for work; return the seconds to wait.

        A little work is charged together with what follows it.
        """
        self.uncharged += work
        if self.uncharged < MIN_CHARGE_PIECES:
            return 0.0
        work, self.uncharged = self.uncharged, 0
        return self.shares.charge(
            self.sender, work, now=self.reactor.seconds()
        )

    def end_reading(self):
        """Close the connection, of which nothing more can be read."""
        transport = self.socket_transport
        transport.connectionLost(find_end_reason(transport))

    def end(self, reason):
        """Report the end of the connection behind the bytes that wait."""
        if self.is_closing:
            self.turns.stop()
            self.report_end(reason)
        else:
            self.turns.end(reason)

    def close(self):
        """Drop the bytes that wait, since this side closes the connection."""
        if self.is_closing:
            return
        self.is_closing = True
        self.turns.stop()
        reason, self.turns.end_reason = self.turns.end_reason, None
        if reason is not None:
            self.reactor.callLater(0, self.report_end, reason)

    def report_end(self, reason):
        """Tell the protocol that the connection has ended."""
        with note_end(reason):
            self.report_loss(reason)


def ignore_end_of_writing():
    """Do nothing, since this side closes both directions at once."""
