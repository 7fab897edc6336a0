"""UDP datagrams between daemons."""

from twisted.internet import error
from twisted.internet import protocol

from hollyspan_core.errors import PeerAuthenticationError
from hollyspan_core.errors import PeerMessageError
from hollyspan_core.messages import decode_message
from hollyspan_core.messages import encode_message

__all__ = ["Datagrams"]

MAX_TURN_DATAGRAMS = 64


class Datagrams(protocol.DatagramProtocol):
    """Sends and receives peer messages over UDP.

    Parameters
    ----------
    key : bytes
        Key shared by all daemons.
    counters : PeerCounters
    receive : callable
        Called with each decoded PeerMessage; may raise PeerMessageError.
    reactor : IReactorTime
    """

    def __init__(self, *, key, counters, receive, reactor):
        self.key = key
        self.counters = counters
        self.receive = receive
        self.reactor = reactor
        self.turn_datagrams = 0
        self.max_throughput = None

    def encode(self, message):
        """Return a message as a datagram."""
        return encode_message(message, key=self.key)

    def send(self, datagram, *, address, port):
        """Send a datagram; count it if the operating system refuses it.

        Parameters
        ----------
        datagram : bytes
        address : str
            IP address.
        port : int
        """
        if self.transport is None:
            return
        try:
            self.transport.write(datagram, (address, port))
        except (
            OSError,
            error.InvalidAddressError,
            error.MessageLengthError,
        ):
            self.counters.unsent += 1
            return
        self.counters.sent += 1
        self.counters.sent_bytes += len(datagram)

    def limit_turn(self):
        """Let the socket be read no further in this turn of the loop.

        The transport counts bytes, and empty datagrams have none.
        """
        if not self.turn_datagrams:
            self.max_throughput = self.transport.maxThroughput
            self.reactor.callLater(0, self.start_turn)
        self.turn_datagrams += 1
        if self.turn_datagrams >= MAX_TURN_DATAGRAMS:
            self.transport.maxThroughput = 0

    def start_turn(self):
        """Let the socket be read again."""
        self.turn_datagrams = 0
        if self.transport is not None:
            self.transport.maxThroughput = self.max_throughput

    def datagramReceived(self, datagram, addr):
        self.limit_turn()
        self.counters.received += 1
        self.counters.received_bytes += len(datagram)
        try:
            self.receive(decode_message(datagram, key=self.key))
        except PeerAuthenticationError:
            self.counters.foreign += 1
        except PeerMessageError:
            self.counters.damaged += 1
