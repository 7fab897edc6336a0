"""Reading of one connection that carries a stream."""

import time

from twisted.internet import defer
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client

__all__ = ["StreamReader"]

END = failure.Failure(client.ResponseDone())


class StreamReader(protocol.Protocol):
    """Feeds the bytes of a connection to a parser.

    Parameters
    ----------
    parser : EventParser
    is_done : callable
        Returns True once the stream is whole.
    idle_timeout : float
        Seconds without bytes after which the connection is closed. Time in
        which the reader is paused does not count.
    clock : IReactorTime

    Attributes
    ----------
    ended : Deferred
        Fires with None when the stream is whole or the connection is lost,
        and with the failure when the parser rejects the bytes.
    is_ended : bool
        True when the engine has ended its answer.
    """

    def __init__(self, *, parser, is_done, idle_timeout, clock):
        self.parser = parser
        self.is_done = is_done
        self.idle_timeout = idle_timeout
        self.clock = clock
        self.ended = defer.Deferred(lambda _: self.abort())
        self.failed = False
        self.is_ended = False
        self.paused = False
        self.timer = None
        self.active = time.monotonic()

    def connectionMade(self):
        self.timer = self.clock.callLater(self.idle_timeout, self.check_idle)

    def dataReceived(self, data):
        self.active = time.monotonic()
        if self.failed:
            return
        try:
            self.parser.feed(data)
        except Exception as error:
            self.failed = True
            self.abort()
            self.end(error)
            return
        if self.is_done():
            self.end()

    def connectionLost(self, reason=END):
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.is_ended = bool(reason.check(client.ResponseDone))
        self.end()

    def end(self, result=None):
        """Report the end once."""
        if not self.ended.called:
            if result is None:
                self.ended.callback(None)
            else:
                self.ended.errback(result)

    def abort(self):
        """Close the connection at once."""
        self.failed = True
        if self.transport is not None:
            self.transport.loseConnection()

    def check_idle(self):
        """Close the connection when it was idle for too long."""
        now = time.monotonic()
        if self.paused:
            self.active = now
        left = self.active + self.idle_timeout - now
        if left > 0:
            self.timer = self.clock.callLater(left, self.check_idle)
        else:
            self.abort()

    def pauseProducing(self):
        """Stop reading; the caller is slow."""
        self.paused = True
        self.transport.pauseProducing()

    def resumeProducing(self):
        """Read on."""
        self.paused = False
        self.active = time.monotonic()
        self.transport.resumeProducing()

    def stopProducing(self):
        """Close the connection at once."""
        self.abort()
