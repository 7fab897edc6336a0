"""Sink that writes an answer to a caller's HTTP connection."""

from twisted.internet import interfaces
from zope.interface import implementer

__all__ = ["HttpSink"]

EVENT_STREAM = b"text/event-stream"


@implementer(interfaces.IPushProducer)
class HttpSink:
    """Writes an answer to the connection of a caller.

    Parameters
    ----------
    request : twisted.web.http.Request

    Attributes
    ----------
    started : bool
        True once the head of the answer was written.
    is_stream : bool
        True once the head of an event stream was written.

    Notes
    -----
    When the caller reads slowly, the upstream connection that delivers the
    answer is paused.
    """

    def __init__(self, *, request):
        self.request = request
        self.started = False
        self.is_stream = False
        self.reader = None
        self.paused = False

    def start(self, *, status, content_type, length=None):
        """Write the head of the answer.

        Parameters
        ----------
        status : int
        content_type : bytes
        length : int, optional
            Size of the body in bytes, if known.
        """
        self.started = True
        self.is_stream = content_type.startswith(EVENT_STREAM)
        request = self.request
        request.setResponseCode(status)
        request.setHeader(b"content-type", content_type)
        if length is None:
            request.setHeader(b"cache-control", b"no-cache")
        else:
            request.setHeader(b"content-length", b"%d" % length)
        self.write = request.write

    def write(self, data):
        """Write bytes of the body."""
        self.request.write(data)

    def apply_backpressure(self, reader):
        """Pause a connection whenever the caller reads slowly.

        Parameters
        ----------
        reader : IPushProducer
            Upstream connection that delivers the answer.
        """
        is_first_reader = self.reader is None
        self.reader = reader
        if is_first_reader and not self.request._disconnected:
            self.request.registerProducer(self, True)
        elif self.paused:
            reader.pauseProducing()

    def close(self):
        """Unregister from the request once the answer is complete."""
        if self.reader is not None:
            self.reader = None
            if not self.request._disconnected:
                self.request.unregisterProducer()

    def pauseProducing(self):
        """Pause the upstream connection; the caller reads slowly."""
        self.paused = True
        if self.reader is not None:
            self.reader.pauseProducing()

    def resumeProducing(self):
        """Resume the upstream connection; the caller has caught up."""
        self.paused = False
        if self.reader is not None:
            self.reader.resumeProducing()

    def stopProducing(self):
        """Do nothing; the end of the request cancels the work."""
