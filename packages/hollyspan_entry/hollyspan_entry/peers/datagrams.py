"""UDP datagrams between daemons."""

from twisted.internet import error
from twisted.internet import protocol

from hollyspan_core.errors import PeerAuthenticationError
from hollyspan_core.errors import PeerMessageError
from hollyspan_core.messages import decode_message
from hollyspan_core.messages import encode_message

__all__ = ["Datagrams"]


class Datagrams(protocol.DatagramProtocol):
    """Sends and receives peer messages over UDP.

    Parameters
    ----------
    key : bytes
        Key shared by all daemons.
    counters : PeerCounters
    receive : callable
        Called with each decoded PeerMessage; may raise PeerMessageError.
    """

    def __init__(self, *, key, counters, receive):
        self.key = key
        self.counters = counters
        self.receive = receive

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

    def datagramReceived(self, datagram, addr):
        self.counters.received += 1
        self.counters.received_bytes += len(datagram)
        try:
            self.receive(decode_message(datagram, key=self.key))
        except PeerAuthenticationError:
            self.counters.foreign += 1
        except PeerMessageError:
            self.counters.damaged += 1
