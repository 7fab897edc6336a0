"""HTTP server for clients, the balancer and peers."""

import contextlib
import io

import eliot
from twisted.web import http

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import IntakeExceededError

from ..intake import MAX_ALL_BODY_BYTES
from ..intake import MAX_CONNECTIONS
from ..intake import MAX_EXCESS_BODY_BYTES
from ..intake import ServedIntake
from .channel import ClientChannel

__all__ = ["ClientRequest", "ClientSite"]

# Time in which a new connection brings its first request: several round trips
# between regions.
FIRST_REQUEST_S = 0.5
# Time in which a head arrives, until a configuration sets one.
HEADER_TIMEOUT_S = 3.0
# First bytes of a body that are kept though others have used up the bytes to
# be kept of all: usual requests are shorter.
SMALL_BODY_BYTES = 16 * 1024


class ClientRequest(http.Request):
    """Request whose body is kept in memory.

    Attributes
    ----------
    is_too_large : bool
        True when the body exceeds the limit; the excess is discarded.
    body_bytes : int
        Bytes of the body received so far.
    refusal : HollyspanError or None
        Reason why there is no room for the body, which is discarded.
    on_disconnect : callable or None
        Called without arguments when the client disconnects before the end of
        the answer.
    arrived_at : float
        Time at which the request was received completely, reactor seconds.
    """

    def __init__(self, channel, queued=False):
        super().__init__(channel, queued)
        self.is_too_large = False
        self.body_bytes = 0
        self.refusal = None
        self.has_room = False
        self.kept = contextlib.ExitStack()
        self.keep = None
        self.on_disconnect = None
        self.arrived_at = 0.0

    def gotLength(self, length):
        self.content = io.BytesIO()
        if length == 0:
            return
        hold = self.find_room()
        if hold is None:
            budget = self.channel.factory.intake.bodies
            self.keep = self.kept.enter_context(budget.open_account())
            return
        limit = self.channel.factory.body_limit
        self.keep = lambda size: None
        if length is not None and length > limit:
            # Discarded as soon as it exceeds the limit.
            length = limit
        try:
            self.kept.enter_context(hold(limit if length is None else length))
            self.has_room = True
        except HollyspanError as error:
            self.refusal = error

    def find_room(self):
        """Return what holds room for a body of its kind, None for others."""
        host = self.requestHeaders.getRawHeaders(b"host", [b""])[0]
        path = self.channel.path_received.partition(b"?")[0]
        return self.channel.factory.find_room(
            host.decode("latin-1"), path.decode("latin-1")
        )

    def take_room(self):
        """Return the room that is held for the body, as a context.

        Returns
        -------
        context manager or None
            Its end frees the room; None if no room is held for the body.
        """
        if not self.has_room:
            return None
        self.has_room = False
        return self.kept.pop_all()

    def handleContentChunk(self, data):
        limit = self.channel.factory.body_limit
        self.body_bytes += len(data)
        if self.body_bytes > limit:
            self.is_too_large = True
            if self.body_bytes > limit + MAX_EXCESS_BODY_BYTES:
                raise IntakeExceededError(f"the body exceeds {limit} bytes")
            return
        if self.refusal is not None:
            return
        try:
            self.keep(len(data))
        except IntakeExceededError:
            if self.body_bytes > SMALL_BODY_BYTES:
                raise
        self.content.write(data)

    def drop_body(self):
        """Free the room of a body that is not read any more."""
        self.kept.close()
        self.content = None

    def requestReceived(self, command, path, version):
        self.method = command
        self.uri = path
        self.clientproto = version
        factory = self.channel.factory
        self.arrived_at = factory.reactor.seconds()
        if self.channel.is_last_told:
            factory.refuse(self)
        else:
            factory.handle(self)

    def connectionLost(self, reason):
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        self.kept.close()
        super().connectionLost(reason)
        if on_disconnect is not None:
            on_disconnect()

    @property
    def is_open(self):
        """True while the client can be answered."""
        return self.channel is not None and not self.finished

    def answer(self, status, headers, body):
        """Send a complete answer.

        Parameters
        ----------
        status : int
        headers : list of (bytes, bytes)
        body : bytes
        """
        if not self.is_open:
            return
        self.begin(status, headers)
        self.setHeader(b"Content-Length", b"%d" % len(body))
        if body:
            self.write(body)
        self.end()

    def begin(self, status, headers):
        """Set the head of an answer; it is sent with the first bytes."""
        self.setResponseCode(status)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)

    def end(self):
        """End the answer."""
        self.on_disconnect = None
        self.kept.close()
        if self.is_open:
            self.finish()

    def abort(self):
        """Close the connection in the middle of the answer."""
        self.on_disconnect = None
        if self.channel is not None:
            self.channel.abortConnection()


class ClientSite(http.HTTPFactory):
    """Factory of server connections.

    Parameters
    ----------
    reactor : twisted reactor
    handle : callable
        Called with each complete ClientRequest.
    body_limit : int
        Bytes of a body, until a configuration sets a limit.
    idle_seconds : float
    find_room : callable, optional
        Called with host and path of a request with a body. Returns a function
        that is called with a number of bytes and returns a context manager
        that holds room for them, or raises a HollyspanError; or None for a
        body that counts with all others.
    all_body_bytes : int, optional
        Bytes of those bodies that are kept at once.
    refuse : callable, optional
        Called with each ClientRequest that comes in a stop behind the last
        answer on its connection; answers that it has not run.

    Attributes
    ----------
    body_limit : int
        Maximum size of a body in bytes.
    header_limit : int
        Maximum size of a head in bytes.
    header_seconds : float
        Time in which a head arrives.
    intake : ServedIntake
    max_connections : int
    is_closing : bool
        True once each connection is closed after its last request.
    """

    noisy = False

    def __init__(
        self,
        *,
        reactor,
        handle,
        body_limit,
        idle_seconds,
        find_room=lambda host, path: None,
        all_body_bytes=MAX_ALL_BODY_BYTES,
        refuse=lambda request: request.answer(
            http.SERVICE_UNAVAILABLE, [(b"Retry-After", b"1")], b""
        ),
    ):
        super().__init__(reactor=reactor, timeout=idle_seconds)
        self.handle = handle
        self.refuse = refuse
        self.find_room = find_room
        self.body_limit = body_limit
        self.header_limit = ClientChannel.totalHeadersSize
        self.header_seconds = HEADER_TIMEOUT_S
        self.intake = ServedIntake(
            reactor=reactor, max_all_body_bytes=all_body_bytes
        )
        self.max_connections = MAX_CONNECTIONS
        self.is_closing = False
        self.channels = set()

    def buildProtocol(self, addr):
        if len(self.channels) >= self.max_connections:
            if not self.close_longest_idle():
                return None
        channel = ClientChannel()
        channel.requestFactory = ClientRequest
        channel.factory = self
        channel.callLater = self.reactor.callLater
        channel.timeOut = self.timeOut
        channel.totalHeadersSize = self.header_limit
        return channel

    def startFactory(self):
        """Open no access log; decisions are logged by the handlers."""

    def stopFactory(self):
        """Close no access log, since none was opened."""

    def log(self, request):
        """Write no access log; decisions are logged by the handlers."""

    def apply_limits(self, limits):
        """Apply the configured limits to later connections and requests.

        Parameters
        ----------
        limits : Limits
        """
        self.apply_size_limits(limits)
        self.timeOut = limits.idle_seconds
        self.header_seconds = limits.header_seconds

    def apply_size_limits(self, limits, *, header_margin=0):
        """Apply the configured limits on the size of requests.

        Parameters
        ----------
        limits : Limits
        header_margin : int, optional
            Bytes by which a head may be longer.
        """
        self.body_limit = limits.body_bytes
        self.header_limit = limits.header_bytes + header_margin

    def close_longest_idle(self):
        """Close the connection that has been idle for longest, for a new one.

        Returns
        -------
        bool
            False if each has a request.
        """
        idle = [channel for channel in self.channels if channel.is_idle]
        eliot.log_message(
            "client:too_many", connections=len(self.channels), idle=len(idle)
        )
        if not idle:
            return False
        channel = min(idle, key=lambda each: each.used_at)
        self.channels.discard(channel)
        channel.loseConnection()
        return True

    def begin_closing(self):
        """Close each connection after its current or next answer.

        The last answer on each says so, if its head has not been sent.
        """
        self.is_closing = True

    def close_idle(self):
        """Close idle connections now and busy ones after their requests.

        A new connection is left the time to send its first request.
        """
        self.is_closing = True
        now = self.reactor.seconds()
        for channel in list(self.channels):
            if channel.is_idle and now - channel.opened_at >= FIRST_REQUEST_S:
                channel.close_unless_used()
