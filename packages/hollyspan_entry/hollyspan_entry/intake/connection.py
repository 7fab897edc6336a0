"""Limits on one connection of the HTTP client."""

import eliot

from hollyspan_core.errors import IntakeExceededError
from hollyspan_core.intake import TurnReader
from hollyspan_policy.intake import IntakeMeter

from .endings import note_end
from .limits import HEAD
from .tally import count_pieces
from .tally import get_piece_count
from .transport import HeldTransport

__all__ = ["limit_connection"]


def limit_connection(connection, *, reactor, shares):
    """Let a connection of the HTTP client read in turns of bounded work.

    Parameters
    ----------
    connection : HTTP11ClientProtocol
        New protocol without a transport.
    reactor : IReactorTime
    shares : WorkShares
        Work of the loop, divided between the programs it reads from.
    """
    LimitedConnection(connection=connection, reactor=reactor, shares=shares)


class LimitedConnection:
    """State of reading for one connection of the HTTP client.

    Parameters
    ----------
    connection : HTTP11ClientProtocol
    reactor : IReactorTime
    shares : WorkShares

    Attributes
    ----------
    sender : tuple of (str, int)
        Address of the other program.
    head : IntakeMeter or None
        What was read of the head of the current answer.
    is_closing : bool
        True once the connection is closed from this side.
    """

    __slots__ = (
        "connection",
        "reactor",
        "shares",
        "connect",
        "send_request",
        "feed",
        "report_loss",
        "put_back",
        "transport",
        "turns",
        "sender",
        "head",
        "is_closing",
    )

    def __init__(self, *, connection, reactor, shares):
        self.connection = connection
        self.reactor = reactor
        self.shares = shares
        self.connect = connection.makeConnection
        self.send_request = connection.request
        self.feed = connection.dataReceived
        self.report_loss = connection.connectionLost
        self.put_back = connection._quiescentCallback
        connection.makeConnection = self.start
        connection.request = self.request
        connection.dataReceived = self.receive
        connection.connectionLost = self.end
        connection._quiescentCallback = self.keep_or_close
        self.transport = None
        self.turns = None
        self.sender = None
        self.head = None
        self.is_closing = False

    def start(self, transport):
        """Begin to read a transport."""
        peer = transport.getPeer()
        self.sender = (peer.host, peer.port)
        self.turns = TurnReader(
            reactor=self.reactor,
            transport=transport,
            parse=self.parse,
            charge=self.charge,
            on_end=self.report_end,
        )
        self.transport = HeldTransport(
            transport=transport,
            hold=self.turns.hold,
            release=self.turns.release,
            close=self.close,
        )
        self.connect(self.transport)

    def request(self, request):
        """Send a request; the head of its answer is limited."""
        head = self.head = IntakeMeter(limits=HEAD)

        def leave_head(result):
            if self.head is head:
                self.head = None
            return result

        return self.send_request(request).addBoth(leave_head)

    def receive(self, data):
        """Read received bytes, now or later."""
        if not self.is_closing:
            self.turns.receive(data)

    def parse(self, data):
        """Hand a slice to the HTTP client; return its work."""
        count = get_piece_count()
        head = self.head
        self.feed(data)
        if head is not None and self.head is head:
            lines = data.count(b"\n")
            count_pieces(lines)
            self.check_head(head, len(data), lines)
        return 1 + get_piece_count() - count

    def check_head(self, head, size, lines):
        """Reset the connection when a head exceeds its limits."""
        try:
            head.count(size, pieces=lines)
        except IntakeExceededError as error:
            log_exceeded(self.sender, error)
            self.transport.abortConnection()

    def charge(self, work):
        """Charge the sender for a slice; return the seconds to wait."""
        return self.shares.charge(
            self.sender, work, now=self.reactor.seconds()
        )

    def keep_or_close(self, connection):
        """Keep the connection for later requests unless bytes are left.

        They would be taken for the answer to the next request.
        """
        if self.turns.pending_bytes:
            eliot.log_message(
                message_type="intake:left-over",
                sender=self.sender,
                bytes=self.turns.pending_bytes,
            )
            self.transport.loseConnection()
        else:
            self.put_back(connection)

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
        """Tell the HTTP client that the connection has ended."""
        with note_end(reason):
            self.report_loss(reason)


def log_exceeded(sender, error):
    eliot.log_message(
        message_type="intake:exceeded", sender=sender, reason=error.message
    )
