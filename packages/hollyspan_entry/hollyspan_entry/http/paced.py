"""Writing of long answers no faster than the caller reads."""

from twisted.internet import defer
from twisted.internet import interfaces
from zope.interface import implementer

__all__ = ["PacedWriter"]


@implementer(interfaces.IPushProducer)
class PacedWriter:
    """Writes to a request and waits while the connection is congested.

    Parameters
    ----------
    request : twisted.web.http.Request
    """

    def __init__(self, *, request):
        self.request = request
        self.paused = None
        request.registerProducer(self, True)

    async def write(self, data):
        """Write bytes when the connection can take them.

        Parameters
        ----------
        data : bytes
        """
        if self.paused is not None:
            await self.paused
        self.request.write(data)

    def finish(self):
        """Give the request back."""
        self.request.unregisterProducer()

    def pauseProducing(self):
        """Hold the writing up."""
        if self.paused is None:
            self.paused = defer.Deferred()

    def resumeProducing(self):
        """Go on writing."""
        paused, self.paused = self.paused, None
        if paused is not None:
            paused.callback(None)

    def stopProducing(self):
        """Do nothing; the request's end cancels the writer."""
