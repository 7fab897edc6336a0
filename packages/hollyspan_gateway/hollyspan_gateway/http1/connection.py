"""Persistent HTTP/1.1 client connection."""

import collections
import contextlib
import socket

import h11
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from zope.interface import implementer

from hollyspan_core.documents import parse_integer
from hollyspan_core.errors import IntakeExceededError
from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import StreamMalformedError
from hollyspan_core.errors import UpstreamConnectionRefusedError
from hollyspan_core.errors import UpstreamUnreachableError
from hollyspan_core.intake import find_end_reason
from hollyspan_core.intake import SLICE_BYTES
from hollyspan_core.intake import TurnReader
from hollyspan_policy.intake import IntakeMeter

from .body import BodySender
from .body import generate_pieces
from .body import LONG_BODY_BYTES
from .intake import BYTES_PER_WORK
from .intake import count_pieces
from .intake import Intake
from .intake import WORK_PER_TURN
from .kinds import SKIPPED_ANSWERS

__all__ = ["ClientConnection", "connect"]

# Idle time before the first TCP keep-alive probe, interval between probes, and
# number of unanswered probes: a silent peer is detected within 3 s, the
# shortest of the fleet's time limits for detecting a lost connection.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Time that sent bytes may remain unacknowledged.
USER_TIMEOUT_MS = 3000
# Margin before the idle timeout of the peer in which a connection is not
# reused, since the peer may be closing it; several times the longest round
# trip.
IDLE_MARGIN_S = 0.5
# Identifiers of its last requests that a connection remembers. An item comes
# again within seconds, in which a connection carries a few requests.
REMEMBERED_IDENTIFIERS = 32
# Limit on the answers to other requests that are read past.
MAX_SKIPPED_ANSWERS = 3
# Largest status that the protocol defines, as in RFC 9110.
MAX_STATUS = 599
# Bytes that are read in one turn of a body that is not parsed.
PLAIN_SLICE_BYTES = 64 * 1024


def connect(reactor, host, port, *, timeout, source_ip=None, intake=None):
    """Open a connection.

    Parameters
    ----------
    reactor : twisted reactor
    host : str
        IP address.
    port : int
    timeout : float
        Connection timeout in seconds.
    source_ip : str, optional
        Address of this machine to connect from.
    intake : Intake, optional
        Bounds on what is read over all connections.

    Returns
    -------
    Deferred of ClientConnection
        Fails with UpstreamUnreachableError.
    """
    factory = ClientFactory(
        reactor=reactor, intake=intake, sender=(host, port)
    )
    source = None if source_ip is None else (source_ip, 0)
    reactor.connectTCP(
        host, port, factory, timeout=timeout, bindAddress=source
    )
    return factory.opened


class ClientFactory(protocol.ClientFactory):
    """Builds the protocol of one connection."""

    noisy = False

    def __init__(self, *, reactor, intake, sender):
        self.reactor = reactor
        self.intake = intake
        self.sender = sender
        self.opened = defer.Deferred()

    def buildProtocol(self, addr):
        return ClientConnection(
            reactor=self.reactor,
            opened=self.opened,
            intake=self.intake,
            sender=self.sender,
        )

    def clientConnectionFailed(self, connector, reason):
        is_refused = reason.check(error.ConnectionRefusedError)
        failure = (
            UpstreamConnectionRefusedError
            if is_refused
            else UpstreamUnreachableError
        )(f"connection failed: {reason.getErrorMessage()}")
        # The caller may have cancelled the wait.
        if not self.opened.called:
            self.opened.errback(failure)


@implementer(interfaces.IHalfCloseableProtocol)
class ClientConnection(protocol.Protocol):
    """Connection that sends one request at a time.

    Parameters
    ----------
    reactor : twisted reactor
    opened : Deferred
        Fires with the connection once it is made.
    intake : Intake, optional
        Bounds on what is read over all connections.
    sender : (str, int), optional
        Address of the other end.

    Attributes
    ----------
    on_free : callable or None
        Called with the connection when an answer is complete and the
        connection can take another request.
    on_lost : callable or None
        Called with the connection when it is lost.
    usable_until : float or None
        Time after which the connection is not reused, since the peer may
        close it as idle, reactor seconds.
    opened_at : float
        Time at which it was made, reactor seconds.
    held : Deferred or None
        Fires when the wait for a close at once is over.
    is_first_request : bool
        True while the connection has carried at most one request.
    """

    def __init__(self, *, reactor, opened, intake=None, sender=None):
        self.reactor = reactor
        self.opened = opened
        self.opened_at = reactor.seconds()
        self.intake = intake or Intake(reactor=reactor)
        self.sender = sender
        self.turns = None
        self.work = 0
        self.account = contextlib.ExitStack()
        self.note_kept = None
        self.parser = h11.Connection(h11.CLIENT)
        self.exchange = None
        self.body_sender = None
        self.on_free = None
        self.on_lost = None
        self.usable_until = None
        self.idle_seconds = None
        self.is_lost = False
        self.held = None
        self.identifiers = collections.deque(maxlen=REMEMBERED_IDENTIFIERS)
        self.is_first_request = True
        self.is_skipping = False
        self.skipped_answers = 0
        self.skip_meter = None

    def connectionMade(self):
        self.opened_at = self.reactor.seconds()
        self.turns = TurnReader(
            reactor=self.reactor,
            transport=self.transport,
            parse=self.parse,
            charge=lambda work: self.intake.charge(self.sender, work),
            on_end=self.handle_end,
            ask=lambda: self.intake.find_wait(self.sender),
        )
        self.transport.setTcpNoDelay(True)
        set_keepalive(self.transport.getHandle())
        if self.opened.called:
            self.transport.abortConnection()
            return
        self.opened.callback(self)

    def send(self, exchange):
        """Send a request; the connection must be free.

        Parameters
        ----------
        exchange : Exchange
        """
        self.is_first_request = not self.identifiers
        self.identifiers.append(exchange.identifier)
        self.skipped_answers = 0
        self.skip_meter = IntakeMeter(limits=SKIPPED_ANSWERS.limits)
        self.note_kept = self.account.enter_context(
            self.intake.open_account(self.sender)
        )
        self.exchange = exchange
        self.body_sender = None
        head = self.encode_head(exchange)
        if len(exchange.body) <= LONG_BODY_BYTES:
            body = b"".join(generate_pieces(exchange.body))
            self.transport.write(head + body)
            return
        self.transport.write(head)
        self.body_sender = BodySender(
            transport=self.transport, body=exchange.body
        )
        self.body_sender.start()

    @property
    def is_sending(self):
        """True while a part of the body has not been written."""
        return self.body_sender is not None and self.body_sender.is_sending

    def encode_head(self, exchange):
        """Return the head of a request, whose answer the parser awaits."""
        headers = list(exchange.headers)
        headers.append((b"Content-Length", b"%d" % len(exchange.body)))
        head = h11.Request(
            method=exchange.method, target=exchange.target, headers=headers
        )
        content = self.parser.send(head)
        if exchange.body:
            # Counted only, and written by the caller.
            self.parser.send_with_data_passthrough(
                h11.Data(data=exchange.body)
            )
        self.parser.send(h11.EndOfMessage())
        return content

    def has_carried(self, identifier):
        """Return whether a request with an identifier was sent here before.

        Parameters
        ----------
        identifier : str or None
            None for a request without one.

        Returns
        -------
        bool
        """
        return identifier is not None and identifier in self.identifiers

    def skip_answer(self):
        """Read past an answer whose head names another request.

        Returns
        -------
        bool
            False if the awaited answer cannot be expected to follow.
        """
        if self.is_first_request or (
            self.skipped_answers >= MAX_SKIPPED_ANSWERS
        ):
            return False
        self.skipped_answers += 1
        self.is_skipping = True
        return True

    def dataReceived(self, data):
        self.turns.receive(data)

    def parse(self, data):
        """Parse received bytes; return the work that they were."""
        self.work = WORK_PER_TURN
        if self.exchange is None:
            # Unsolicited bytes: close the connection.
            self.abort()
        else:
            self.feed(data)
        return self.work

    def feed(self, data):
        try:
            self.parser.receive_data(data)
            while self.exchange is not None:
                event = self.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self.handle_event(event)
        except IntakeExceededError as error:
            self.fail(error)
        except h11.RemoteProtocolError as fault:
            if not data:
                self.fail(StreamLostError(f"connection closed: {fault}"))
                return
            self.fail(StreamMalformedError(f"malformed answer: {fault}"))

    def handle_event(self, event):
        size, pieces = measure_event(event)
        self.work += pieces + size // BYTES_PER_WORK
        if self.is_skipping:
            self.skip_meter.count(size, pieces=pieces)
            self.skip_event(event)
            return
        if isinstance(event, h11.EndOfMessage):
            self.finish()
            return
        if not isinstance(event, h11.Data):
            self.exchange.meter.count(size, pieces=pieces)
        if isinstance(event, h11.Data):
            self.handle_content(bytes(event.data))
        elif isinstance(event, h11.Response):
            if event.status_code > MAX_STATUS:
                self.fail(
                    StreamMalformedError(
                        f"{event.status_code} is no status of an answer"
                    )
                )
                return
            self.idle_seconds = parse_keep_alive_timeout(event.headers)
            self.choose_slice(event.headers)
            self.exchange.on_head(event.status_code, list(event.headers))

    def handle_content(self, data):
        """Report a part of the body, and account for what is kept of it."""
        is_kept = self.exchange.kind.is_kept
        if is_kept:
            self.note_kept(self.exchange.meter.content_bytes + len(data))
        kept = self.exchange.on_data(data)
        if not is_kept and kept is not None and self.exchange is not None:
            self.note_kept(kept)

    def choose_slice(self, headers):
        """Read more of a body in a turn if its size is not its work."""
        has_events = self.exchange.kind.has_events
        if not has_events and not any(
            name == b"transfer-encoding" for name, _ in headers
        ):
            self.turns.slice_bytes = PLAIN_SLICE_BYTES

    def skip_event(self, event):
        """Read past a part of an answer, and await the next one behind it."""
        if isinstance(event, h11.EndOfMessage):
            self.is_skipping = False
            self.turns.slice_bytes = SLICE_BYTES
            trailing, is_closed = self.parser.trailing_data
            if is_closed or self.parser.their_state is not h11.DONE:
                self.fail(
                    StreamLostError(
                        "connection closed behind an answer to another request"
                    )
                )
                return
            self.parser = h11.Connection(h11.CLIENT)
            self.encode_head(self.exchange)
            if trailing:
                self.parser.receive_data(trailing)

    def remove_exchange(self):
        """Return the request in progress, which is over."""
        exchange, self.exchange = self.exchange, None
        self.account.close()
        if self.turns is not None:
            self.turns.slice_bytes = SLICE_BYTES
        return exchange

    def finish(self):
        exchange = self.remove_exchange()
        trailing, is_closed = self.parser.trailing_data
        if (
            trailing
            or is_closed
            or self.is_lost
            or self.is_sending
            or self.turns.pending_bytes
            or self.parser.our_state is not h11.DONE
            or self.parser.their_state is not h11.DONE
        ):
            self.abort()
        else:
            self.parser.start_next_cycle()
            self.usable_until = None
            if self.idle_seconds is not None:
                self.usable_until = (
                    self.reactor.seconds() + self.idle_seconds - IDLE_MARGIN_S
                )
            if self.on_free is not None:
                self.on_free(self)
        exchange.on_end()

    def cancel(self):
        """Cancel the request and close the connection."""
        self.remove_exchange()
        self.is_skipping = False
        self.abort()

    def abort(self):
        self.is_lost = True
        if self.turns is not None:
            self.turns.stop()
        self.transport.abortConnection()

    def fail(self, failure):
        exchange = self.remove_exchange()
        self.abort()
        if exchange is not None:
            exchange.on_failure(failure)

    async def hold(self, seconds):
        """Wait whether a new connection stays open.

        Parameters
        ----------
        seconds : float

        Raises
        ------
        UpstreamUnreachableError
            It was closed; nothing had been sent.
        """
        self.held = defer.Deferred()
        timer = self.reactor.callLater(seconds, self.end_hold)
        try:
            await self.held
        except defer.CancelledError:
            self.abort()
            raise
        finally:
            self.held = None
            if timer.active():
                timer.cancel()
        if self.is_lost:
            raise UpstreamUnreachableError("connection closed at once")

    def end_hold(self):
        held, self.held = self.held, None
        if held is not None:
            held.callback(None)

    def limit_use(self, until):
        """Do not reuse the connection after a time, reactor seconds."""
        if self.usable_until is None or until < self.usable_until:
            self.usable_until = until

    def is_usable(self):
        """Return whether another request can be sent."""
        if self.is_lost or self.exchange is not None:
            return False
        return (
            self.usable_until is None
            or self.reactor.seconds() < self.usable_until
        )

    def has_time_left(self):
        """Return whether the timeout that the peer has named is not over."""
        return (
            self.usable_until is not None
            and self.reactor.seconds() < self.usable_until
        )

    def readConnectionLost(self):
        """Close the connection, of which nothing more can be read."""
        self.transport.connectionLost(find_end_reason(self.transport))

    def writeConnectionLost(self):
        """Do nothing, since this side closes both directions at once."""

    def connectionLost(self, reason=protocol.connectionDone):
        self.is_lost = True
        self.end_hold()
        if self.on_lost is not None:
            self.on_lost(self)
        if self.turns is not None:
            self.turns.end(reason)

    def handle_end(self, reason):
        """End the answer in progress with the connection."""
        if self.exchange is None:
            return
        if reason.check(error.ConnectionDone):
            # A clean close can mark the end of the answer.
            self.feed(b"")
        if self.exchange is not None:
            self.fail(
                StreamLostError(f"connection lost: {reason.getErrorMessage()}")
            )


def measure_event(event):
    """Return the bytes and the pieces of a part of an answer."""
    if isinstance(event, h11.Data):
        return len(event.data), count_pieces(event.data)
    if isinstance(event, h11.EndOfMessage):
        return 0, 0
    size = sum(len(name) + len(value) for name, value in event.headers)
    return size, 1 + len(event.headers)


def set_keepalive(handle):
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)


def parse_keep_alive_timeout(headers):
    """Return the timeout of a Keep-Alive header in seconds, or None."""
    for name, value in headers:
        if name != b"keep-alive":
            continue
        for part in value.split(b","):
            key, _, number = part.strip().partition(b"=")
            if key.lower() == b"timeout":
                return parse_integer(number)
    return None
