"""One TCP link between two daemons."""

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
NONCE_BYTES = 16
HANDSHAKE_SECONDS = 5.0
IDLE_SECONDS = 60.0


class Link(basic.Int32StringReceiver):
    """Frames between two daemons, after both have proved who they are.

    Parameters
    ----------
    runtime : Runtime
    is_server : bool
        True on the side that was connected to.
    receive : callable
        Takes the link and each PeerMessage after the greetings; may raise
        PeerMessageError.
    on_end : callable
        Called with the link when it has ended.

    Attributes
    ----------
    peer : Hello or None
        Who the other side is.
    calls : dict
        What is open on the link, by number of the call: Call on the side
        that asked, Deferred on the side that answers.
    frame_bytes : int
        Size of the last frame received.

    Notes
    -----
    The server greets first. The client answers under the nonce of the
    server, which proves that it has the key now; the server's second
    greeting, under both nonces, proves the same of the server.
    """

    MAX_LENGTH = MAX_FRAME_BYTES

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
        self.is_proved = False
        self.is_ended = False
        self.timer = None
        self.calls = {}
        self.frame_bytes = 0

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.set_timer(HANDSHAKE_SECONDS)
        if self.is_server:
            self.greet()

    def greet(self):
        """Send a greeting; later frames are bound to its nonce."""
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
            Bytes of the frame.

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
        counters = self.runtime.peer_counters
        self.frame_bytes = len(frame)
        counters.received_bytes += len(frame)
        try:
            message = self.session.decode(frame)
            if not self.is_proved:
                self.take_hello(read_hello(message))
            else:
                self.set_timer(IDLE_SECONDS)
                self.receive(self, message)
        except PeerAuthenticationError:
            counters.foreign += 1
            self.transport.abortConnection()
        except PeerMessageError:
            counters.damaged += 1
            self.transport.abortConnection()

    def take_hello(self, hello):
        """Take in a greeting of the other side."""
        is_first = self.peer is None
        self.peer = hello
        if self.is_server:
            self.session.extend(hello.nonce)
            self.greet_again()
            self.prove()
        elif is_first:
            self.session.extend(hello.nonce)
            self.greet()
        else:
            self.prove()

    def greet_again(self):
        settings = self.runtime.settings
        hello = Hello(
            instance=settings.instance,
            data_centre=settings.data_centre,
            region=settings.region,
            nonce=b"",
        )
        self.send(build_hello(hello))

    def prove(self):
        """Note that both sides have proved who they are."""
        self.is_proved = True
        self.set_timer(IDLE_SECONDS)
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter.callback(None)

    def wait_proved(self):
        """Return a Deferred that fires when both sides are proved."""
        if self.is_proved:
            return defer.succeed(None)
        if self.is_ended:
            return defer.fail(PeerUnavailableError("the link has ended"))
        waiter = defer.Deferred()
        self.waiters.append(waiter)
        return waiter

    def set_timer(self, seconds):
        """Close the link after some seconds without a frame."""
        if self.timer is not None and self.timer.active():
            self.timer.reset(seconds)
            return
        self.timer = self.runtime.reactor.callLater(seconds, self.time_out)

    def time_out(self):
        """Close the link unless calls are open on it."""
        if self.is_proved and self.calls:
            self.set_timer(IDLE_SECONDS)
            return
        self.transport.abortConnection()

    def lengthLimitExceeded(self, length):
        self.runtime.peer_counters.damaged += 1
        self.transport.abortConnection()

    def connectionLost(self, reason=None):
        self.is_ended = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter.errback(PeerUnavailableError("the link has ended"))
        self.on_end(self)
