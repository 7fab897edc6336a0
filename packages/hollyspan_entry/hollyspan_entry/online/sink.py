"""Where an answer to a caller goes."""

from twisted.internet import interfaces
from zope.interface import implementer

__all__ = ["HttpSink"]


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

    Notes
    -----
    When the caller reads slowly, the connection that the answer comes from
    is paused.
    """

    def __init__(self, *, request):
        self.request = request
        self.started = False
        self.reader = None
        self.paused = False

    def start(self, *, status, content_type, length=None):
        """Write the head of the answer.

        Parameters
        ----------
        status : int
        content_type : bytes
        length : int, optional
            Bytes of the body, when known.
        """
        self.started = True
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

    def pace(self, reader):
        """Pause a connection whenever the caller is slow.

        Parameters
        ----------
        reader : IPushProducer
        """
        first = self.reader is None
        self.reader = reader
        if first and not self.request._disconnected:
            self.request.registerProducer(self, True)
        elif self.paused:
            reader.pauseProducing()

    def close(self):
        """Give the request back; its answer is whole."""
        if self.reader is not None:
            self.reader = None
            if not self.request._disconnected:
                self.request.unregisterProducer()

    def pauseProducing(self):
        """The caller is slow."""
        self.paused = True
        if self.reader is not None:
            self.reader.pauseProducing()

    def resumeProducing(self):
        """The caller has caught up."""
        self.paused = False
        if self.reader is not None:
            self.reader.resumeProducing()

    def stopProducing(self):
        """The caller is gone; the request's end cancels the work."""
