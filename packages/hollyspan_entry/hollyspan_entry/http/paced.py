"""Writer of long answers with backpressure."""

from twisted.internet import defer
from twisted.internet import interfaces
from zope.interface import implementer

__all__ = ["PacedWriter"]


@implementer(interfaces.IPushProducer)
class PacedWriter:
    """Writes to a request and waits while the caller reads slowly.

    Parameters
    ----------
    request : twisted.web.http.Request
    """

    def __init__(self, *, request):
        self.request = request
        self.paused = None
        request.registerProducer(self, True)

    async def write(self, data):
        """Write bytes once the connection accepts more data.

        Parameters
        ----------
        data : bytes
        """
        if self.paused is not None:
            await self.paused
        self.request.write(data)

    def finish(self):
        """Unregister the writer from the request."""
        self.request.unregisterProducer()

    def pauseProducing(self):
        """Pause writing."""
        if self.paused is None:
            self.paused = defer.Deferred()

    def resumeProducing(self):
        """Resume writing."""
        paused, self.paused = self.paused, None
        if paused is not None:
            paused.callback(None)

    def stopProducing(self):
        """Do nothing; the end of the request cancels the writer."""
