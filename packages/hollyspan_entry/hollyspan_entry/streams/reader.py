"""Reader of one connection that carries a stream."""

import time

from twisted.internet import defer
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client

from ..intake import count_pieces
from ..intake.limits import UNUSED_ANSWER

__all__ = ["StreamReader"]

EVENT_END = b"\n\n"
RESPONSE_DONE = failure.Failure(client.ResponseDone())


class StreamReader(protocol.Protocol):
    """Feeds the bytes of a connection to a parser.

    Parameters
    ----------
    parser : EventParser
    meter : IntakeMeter
        Counts what the stream has sent, over all its connections.
    is_done : callable
        Returns True once the stream is complete.
    idle_timeout : float
        Seconds without bytes after which the connection is closed. Time
        while the reader is paused does not count.
    clock : IReactorTime

    Attributes
    ----------
    ended : Deferred
        Fires with None when the stream is complete or the connection is
        lost, and with the failure when the parser rejects the bytes.
    ended_by_engine : bool
        True when the engine has ended the response properly.
    was_idle : bool
        True when the connection was closed after the idle timeout.
    """

    def __init__(self, *, parser, meter, is_done, idle_timeout, clock):
        self.parser = parser
        self.meter = meter
        self.is_done = is_done
        self.idle_timeout = idle_timeout
        self.clock = clock
        self.ended = defer.Deferred(lambda _: self.abort())
        self.failed = False
        self.ended_by_engine = False
        self.was_idle = False
        self.paused = False
        self.timer = None
        self.last_read_at = time.monotonic()
        self.unused_bytes = 0

    def connectionMade(self):
        self.timer = self.clock.callLater(self.idle_timeout, self.check_idle)

    def dataReceived(self, data):
        pieces = 1 + data.count(EVENT_END)
        count_pieces(pieces)
        if self.failed:
            return
        if self.ended.called:
            self.skip(data)
            return
        self.last_read_at = time.monotonic()
        try:
            self.meter.count(len(data), pieces=pieces)
            self.parser.feed(data)
        except Exception as error:
            self.failed = True
            self.abort()
            self.end(error)
            return
        if self.is_done():
            self.end()

    def skip(self, data):
        """Read past bytes behind a complete stream, up to a limit."""
        self.unused_bytes += len(data)
        if self.unused_bytes > UNUSED_ANSWER.content_bytes:
            self.abort()

    def connectionLost(self, reason=RESPONSE_DONE):
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.ended_by_engine = bool(reason.check(client.ResponseDone))
        self.end()

    def end(self, result=None):
        """Fire `ended` unless it has fired already."""
        if not self.ended.called:
            if result is None:
                self.ended.callback(None)
            else:
                self.ended.errback(result)

    def abort(self):
        """Close the connection immediately."""
        self.failed = True
        if self.transport is not None:
            self.transport.loseConnection()

    def check_idle(self):
        """Close the connection after it was idle for the timeout."""
        now = time.monotonic()
        if self.paused:
            self.last_read_at = now
        remaining_s = self.last_read_at + self.idle_timeout - now
        if remaining_s > 0:
            self.timer = self.clock.callLater(remaining_s, self.check_idle)
        else:
            self.was_idle = True
            self.abort()

    def pauseProducing(self):
        """Pause reading because the caller reads slowly."""
        self.paused = True
        self.transport.pauseProducing()

    def resumeProducing(self):
        """Resume reading."""
        self.paused = False
        self.last_read_at = time.monotonic()
        self.transport.resumeProducing()

    def stopProducing(self):
        """Close the connection immediately."""
        self.abort()
