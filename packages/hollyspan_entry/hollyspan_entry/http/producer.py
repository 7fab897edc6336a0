"""Producer of request bodies."""

from twisted.internet import defer
from twisted.web import iweb
from zope.interface import implementer

__all__ = ["BytesProducer"]


@implementer(iweb.IBodyProducer)
class BytesProducer:
    """Produces the body of a request from memory.

    Parameters
    ----------
    content : bytes
    """

    def __init__(self, *, content):
        self.content = content
        self.length = len(content)

    def startProducing(self, consumer):
        consumer.write(self.content)
        return defer.succeed(None)

    def pauseProducing(self):
        pass

    def resumeProducing(self):
        pass

    def stopProducing(self):
        pass
