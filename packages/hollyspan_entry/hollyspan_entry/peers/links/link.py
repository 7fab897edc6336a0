"""TCP link between two daemons."""

import os

from twisted.internet import defer
from twisted.protocols import basic

from hollyspan_core.errors import PeerAuthenticationError
from hollyspan_core.errors import PeerMessageError
from hollyspan_core.errors import PeerUnavailableError
from hollyspan_core.messages import build_hello
from hollyspan_core.messages import Hello
from hollyspan_core.messages import read_hello

from .session import Session

__all__ = ["Link"]

MAX_FRAME_BYTES = 2_000_000
# A hello has some hundred bytes; who sends it is not known yet.
MAX_HELLO_BYTES = 4_096
NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 60.0


class Link(basic.Int32StringReceiver):
    """Exchange of frames between two mutually authenticated daemons.

    Parameters
    ----------
    runtime : Runtime
    is_server : bool
        True on the side that accepted the connection.
    receive : callable
        Called with the link and each PeerMessage after the handshake; may
        raise PeerMessageError.
    on_end : callable
        Called with the link when it has ended.

    Attributes
    ----------
    peer : Hello or None
        Identity of the other side.
    calls : dict
        Open calls by number: Call on the calling side, Deferred on the
        answering side.
    frame_bytes : int
        Size of the last received frame.
    is_refused : bool
        True once the other side has sent a frame that is damaged or foreign.

    Notes
    -----
    The server sends the first hello message. The client's hello is
    authenticated with the server's nonce, which proves that the client has
    the key now. The server's second hello is authenticated with both nonces,
    which proves the same for the server.
    """

    MAX_LENGTH = MAX_HELLO_BYTES

    def __init__(self, *, runtime, is_server, receive, on_end):
        self.runtime = runtime
        self.is_server = is_server
        self.receive = receive
        self.on_end = on_end
        self.session = Session(
            key=runtime.settings.peer_key, is_server=is_server
        )
        self.waiters = []
        self.peer = None
        self.is_authenticated = False
        self.is_ended = False
        self.is_refused = False
        self.timer = None
        self.calls = {}
        self.frame_bytes = 0

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.set_timer(HANDSHAKE_TIMEOUT_S)
        if self.is_server:
            self.send_hello()

    def send_hello(self):
        """Send a hello message; bind later frames to its nonce."""
        settings = self.runtime.settings
        nonce = os.urandom(NONCE_BYTES)
        hello = Hello(
            instance=settings.instance,
            data_centre=settings.data_centre,
            region=settings.region,
            nonce=nonce,
        )
        self.send(build_hello(hello))
        self.session.extend(nonce)

    def send(self, message):
        """Send a message.

        Parameters
        ----------
        message : PeerMessage builder

        Returns
        -------
        int
            Size of the frame in bytes.

        Raises
        ------
        PeerUnavailableError
            The link has ended.
        """
        if self.is_ended:
            raise PeerUnavailableError("the link has ended")
        frame = self.session.encode(message)
        self.sendString(frame)
        self.runtime.peer_counters.sent_bytes += len(frame)
        return len(frame)

    def stringReceived(self, frame):
        if self.is_refused:
            return
        counters = self.runtime.peer_counters
        self.frame_bytes = len(frame)
        counters.received_bytes += len(frame)
        try:
            message = self.session.decode(frame)
            if not self.is_authenticated:
                self.handle_hello(read_hello(message))
            else:
                self.set_timer(IDLE_TIMEOUT_S)
                self.receive(self, message)
        except PeerAuthenticationError:
            counters.foreign += 1
            self.refuse()
        except PeerMessageError:
            counters.damaged += 1
            self.refuse()

    def refuse(self):
        """Close the link; what else was received is not decoded."""
        self.is_refused = True
        self.transport.abortConnection()

    def handle_hello(self, hello):
        """Process a hello message of the other side."""
        is_first = self.peer is None
        self.peer = hello
        if self.is_server:
            self.session.extend(hello.nonce)
            self.confirm_hello()
            self.complete_handshake()
        elif is_first:
            self.session.extend(hello.nonce)
            self.send_hello()
        else:
            self.complete_handshake()

    def confirm_hello(self):
        settings = self.runtime.settings
        hello = Hello(
            instance=settings.instance,
            data_centre=settings.data_centre,
            region=settings.region,
            nonce=b"",
        )
        self.send(build_hello(hello))

    def complete_handshake(self):
        """Mark both sides as authenticated."""
        self.is_authenticated = True
        self.MAX_LENGTH = MAX_FRAME_BYTES
        self.set_timer(IDLE_TIMEOUT_S)
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter.callback(None)

    def wait_authenticated(self):
        """Return a Deferred that fires when both sides are authenticated."""
        if self.is_authenticated:
            return defer.succeed(None)
        if self.is_ended:
            return defer.fail(PeerUnavailableError("the link has ended"))
        waiter = defer.Deferred()
        self.waiters.append(waiter)
        return waiter

    def set_timer(self, seconds):
        """Close the link after a number of seconds without a frame."""
        if self.timer is not None and self.timer.active():
            self.timer.reset(seconds)
            return
        self.timer = self.runtime.reactor.callLater(seconds, self.time_out)

    def time_out(self):
        """Close the idle link unless it has open calls."""
        if self.is_authenticated and self.calls:
            self.set_timer(IDLE_TIMEOUT_S)
            return
        self.transport.abortConnection()

    def lengthLimitExceeded(self, length):
        self.runtime.peer_counters.damaged += 1
        self.refuse()

    def connectionLost(self, reason=None):
        self.is_ended = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter.errback(PeerUnavailableError("the link has ended"))
        self.on_end(self)
