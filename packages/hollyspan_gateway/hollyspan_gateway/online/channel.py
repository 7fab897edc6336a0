"""Connection of a client, of the balancer or of a peer."""

import eliot
from twisted.internet import error
from twisted.internet import interfaces
from twisted.python import failure
from twisted.web import http
from zope.interface import implementer

from hollyspan_core.errors import IntakeExceededError
from hollyspan_core.intake import TurnReader

from ..intake import MIN_BODY_RATE
from ..intake import ReadGate

__all__ = ["ClientChannel"]

# Time for which a client that still sends is read before its connection is
# closed.
LINGER_S = 1.0


@implementer(interfaces.IHalfCloseableProtocol)
class ClientChannel(http.HTTPChannel):
    """Server connection that bounds what it reads and keeps.

    Attributes
    ----------
    opened_at, used_at : float
        Times of its first and latest bytes, reactor seconds.
    is_last_told : bool
        True once an answer in a stop has told that the connection closes;
        requests behind it are refused.

    Notes
    -----
    One request is handled in a turn of the loop, and only once the client
    has read the answers before it. What has been received is parsed in
    slices, so that a body in small chunks keeps no other client waiting.
    """

    def connectionMade(self):
        self.opened_at = self.used_at = self.factory.reactor.seconds()
        self.intake = self.factory.intake
        self.number = next(self.intake.numbers)
        self.done_request = None
        self.done_call = None
        self.arrival_call = None
        self.idle_call = None
        self.is_broken_off = False
        self.is_last_told = False
        self.linger_call = None
        # Lines may be as long as a head.
        self.MAX_LENGTH = max(self.MAX_LENGTH, self.totalHeadersSize)
        self.factory.channels.add(self)
        self.transport.setTcpNoDelay(True)
        super().connectionMade()
        gate = ReadGate(transport=self._networkProducer)
        self._networkProducer = gate.build_producer("protocol")
        self.turns = TurnReader(
            reactor=self.factory.reactor,
            transport=gate.build_producer("turns"),
            parse=self.parse,
            charge=lambda work: self.intake.charge(self.number, work),
            on_end=lambda reason: None,
        )

    @property
    def is_ending(self):
        """Whether nothing more is parsed, since the connection is closed."""
        return self.linger_call is not None or self.transport.disconnecting

    def dataReceived(self, data):
        if self.linger_call is not None:
            return
        self.used_at = self.factory.reactor.seconds()
        if not self.turns.pending_bytes and self.is_within_body(len(data)):
            # Nothing is parsed in it.
            self.parse(data)
        else:
            self.turns.receive(data)

    def is_within_body(self, size):
        """Return whether received bytes all belong to a body with a length."""
        decoder = self._transferDecoder
        return (
            isinstance(decoder, http._IdentityTransferDecoder)
            and not self.line_mode
            and not self._handlingRequest
            and decoder.contentLength >= size
        )

    def parse(self, data):
        """Parse received bytes; return the number of lines parsed.

        What is kept for later requests counts when it is parsed.
        """
        lines = 0 if self._handlingRequest else data.count(b"\n")
        super().dataReceived(data)
        if lines and self._handlingRequest:
            lines -= sum(part.count(b"\n") for part in self._dataBuffer)
        if self.is_ending:
            self.turns.stop()
        self.watch_arrival()
        return lines

    def watch_arrival(self):
        """Wait a bounded time for the rest of a request."""
        is_partial = not self._handlingRequest and bool(
            self.requests or self._buffer
        )
        if not is_partial or self.is_ending:
            self.stop_watching()
        elif self.arrival_call is None:
            seconds = self.factory.header_seconds
            if not self.line_mode:
                seconds += self.factory.body_limit / MIN_BODY_RATE
            self.arrival_call = self.callLater(seconds, self.end_slow)

    def stop_watching(self):
        if self.arrival_call is not None:
            self.arrival_call.cancel()
            self.arrival_call = None

    def end_slow(self):
        """Refuse a request that takes too long to arrive."""
        self.arrival_call = None
        self.refuse(http.REQUEST_TIMEOUT, "the request arrives too slowly")

    @property
    def path_received(self):
        """Path and query of the request whose head has arrived, as bytes."""
        return self._path

    def allHeadersReceived(self):
        self.stop_watching()
        super().allHeadersReceived()

    def rawDataReceived(self, data):
        if self._handlingRequest:
            self.keep_later(data)
            return
        try:
            super().rawDataReceived(data)
        except IntakeExceededError as error:
            status = (
                http.REQUEST_ENTITY_TOO_LARGE
                if self.requests[-1].is_too_large
                else http.SERVICE_UNAVAILABLE
            )
            self.refuse(status, error.message)

    def keep_later(self, data):
        """Keep the start of later requests, and read no more of them.

        The base class reads on while the client does not read its answer.
        """
        self._dataBuffer.append(data)
        if sum(map(len, self._dataBuffer)) > self._optimisticEagerReadSize:
            self._networkProducer.pauseProducing()

    def refuse(self, status, reason):
        """Refuse a request that has not been read, and close."""
        eliot.log_message(
            "client:refused",
            client=self.transport.getPeer().host,
            status=status,
            reason=reason,
        )
        self.turns.stop()
        self.stop_watching()
        self.transport.write(
            b"HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            % (status, http.RESPONSES[status])
        )
        for request in self.requests:
            request.drop_body()
        self.end_gently()

    def loseConnection(self):
        if self.is_last_told:
            self.end_gently()
        else:
            super().loseConnection()

    def end_gently(self):
        """Close the connection, and read what the client sends until then.

        A close before all has been read resets the connection, which may
        overtake the answer.
        """
        if self.is_ending:
            return
        if not interfaces.IHalfCloseableDescriptor.providedBy(self.transport):
            super().loseConnection()
            return
        self.linger_call = self.callLater(LINGER_S, self.end_lingering)
        self.turns.stop()
        self.setTimeout(None)
        self._networkProducer.unregisterProducer()
        self.transport.loseWriteConnection()
        self.transport.resumeProducing()

    @property
    def has_later(self):
        """Whether bytes wait behind the request that is handled, if any."""
        return bool(
            self.turns.pending_bytes or self._buffer or any(self._dataBuffer)
        )

    @property
    def is_idle(self):
        """Whether there is no request, and no byte of one."""
        return not (self.requests or self.has_later)

    def timeoutConnection(self):
        if self.is_idle:
            self.close_unless_used(close=super().timeoutConnection)
        else:
            super().timeoutConnection()

    def close_unless_used(self, *, close=None):
        """Close an idle connection, after a turn of the loop that reads it.

        Timers are called before what came while the process stood still is
        read.

        Parameters
        ----------
        close : callable, optional
            Closes it; without one, what is unsent may take its time.
        """
        if self.idle_call is None:
            self.idle_call = self.callLater(
                0, self.close_unused, close or self.loseConnection
            )

    def close_unused(self, close):
        """Close the connection if it is still idle."""
        self.idle_call = None
        if self.is_idle:
            close()
        elif not self._handlingRequest:
            # The rest of the request is waited for.
            self.setTimeout(self.timeOut)

    def writeHeaders(self, version, code, reason, headers):
        """Write the head of an answer; the last one in a stop says so.

        One that others follow does not, since none is handled behind it.
        """
        if self.factory.is_closing and self.persistent:
            if self.is_last_told or not self.has_later:
                headers.setRawHeaders(b"Connection", [b"close"])
                self.persistent = False
                self.is_last_told = True
        super().writeHeaders(version, code, reason, headers)

    def readConnectionLost(self):
        """Send what is left to a client that has ended its direction."""
        if self.linger_call is not None:
            self.transport.stopReading()
        else:
            self.transport.connectionLost(
                failure.Failure(error.ConnectionDone())
            )

    def writeConnectionLost(self):
        """Read on until the client closes, or until `end_lingering`."""

    def end_lingering(self):
        """Close the connection of a client that has not closed it.

        The last answer in a stop may take its time, which the stop bounds.
        """
        if not self.is_last_told:
            self._abortingCall = self.callLater(
                self.abortTimeout, self.forceAbortClient
            )
        self.transport.loseConnection()

    def requestDone(self, request):
        if self.is_last_told and self.has_later:
            # Sent before the client had read that the connection closes.
            self.persistent = True
        waits = self.persistent and (
            self._waitingForTransport or self.has_later
        )
        if not waits:
            super().requestDone(request)
            return
        self.done_request = request
        if self._savedTimeOut:
            self.setTimeout(self._savedTimeOut)
        if not self._waitingForTransport:
            self.plan_next()

    def plan_next(self):
        """Handle the next request in a turn of its own."""
        if self.done_request is not None and self.done_call is None:
            self.done_call = self.callLater(0, self.finish_done)

    def finish_done(self):
        """End a request whose answer has left, and parse the next one."""
        self.done_call = None
        request, self.done_request = self.done_request, None
        super().requestDone(request)
        self.watch_arrival()

    def setLineMode(self, extra=b""):
        """Parse the next request, which was received before what waits."""
        self.line_mode = 1
        self.turns.put_back(extra)

    def write(self, data):
        if self.may_write():
            super().write(data)
            self.note_unsent(len(data))

    def writeSequence(self, parts):
        if self.may_write():
            super().writeSequence(parts)
            self.note_unsent(sum(map(len, parts)))

    def may_write(self):
        """Return whether the client reads; break it off otherwise."""
        if self.intake.keeps_too_much(self):
            self.break_off()
        return not self.is_broken_off

    def note_unsent(self, size):
        """Count bytes that the client does not read at present."""
        if self._waitingForTransport:
            worst = self.intake.keep_unsent(self, size)
            if worst is not None:
                worst.break_off()

    def break_off(self):
        """Close a connection whose client does not read."""
        if self.is_broken_off:
            return
        self.is_broken_off = True
        eliot.log_message(
            "client:does_not_read",
            client=self.transport.getPeer().host,
            bytes=self.intake.unsent.get(self, 0),
        )
        self.intake.release_unsent(self)
        self.abortConnection()

    def resumeProducing(self):
        self.intake.release_unsent(self)
        super().resumeProducing()
        self.plan_next()

    def connectionLost(self, reason):
        self.factory.channels.discard(self)
        self.intake.release_unsent(self)
        self.turns.stop()
        self.stop_watching()
        if self.done_call is not None:
            self.done_call.cancel()
            self.done_call = None
        if self.idle_call is not None:
            self.idle_call.cancel()
            self.idle_call = None
        if self.linger_call is not None and self.linger_call.active():
            self.linger_call.cancel()
        super().connectionLost(reason)

    def abortConnection(self):
        self.transport.abortConnection()
