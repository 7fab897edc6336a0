"""Bodies of requests, which are sent in pieces."""

from twisted.internet import interfaces
from zope.interface import implementer

__all__ = ["BodySender", "LONG_BODY_BYTES", "PiecedBody", "generate_pieces"]

# Most bytes of a body that are written at once: as many as the transport
# sends in a turn of the loop.
LONG_BODY_BYTES = 128 * 1024


class PiecedBody:
    """Body that is encoded while it is sent, and never kept as a whole.

    Parameters
    ----------
    size : int
        Bytes.
    generate : callable
        Returns an iterator over its pieces, as bytes.
    """

    __slots__ = ("size", "generate")

    def __init__(self, *, size, generate):
        self.size = size
        self.generate = generate

    def __len__(self):
        return self.size


def generate_pieces(body):
    """Generate the pieces of a body, all but the last of the same length.

    Parameters
    ----------
    body : bytes or PiecedBody

    Yields
    ------
    bytes
    """
    if not isinstance(body, PiecedBody):
        view = memoryview(body)
        for start in range(0, len(view), LONG_BODY_BYTES):
            yield bytes(view[start : start + LONG_BODY_BYTES])
        return
    collected = bytearray()
    for piece in body.generate():
        collected += piece
        while len(collected) >= LONG_BODY_BYTES:
            yield bytes(collected[:LONG_BODY_BYTES])
            del collected[:LONG_BODY_BYTES]
    if collected:
        yield bytes(collected)


@implementer(interfaces.IPullProducer)
class BodySender:
    """Writes a long body to a transport as fast as this sends it.

    Parameters
    ----------
    transport : ITransport
    body : bytes or PiecedBody

    Attributes
    ----------
    is_sending : bool
        False once all has been written, or the connection is lost.
    """

    __slots__ = ("transport", "pieces", "is_sending")

    def __init__(self, *, transport, body):
        self.transport = transport
        self.pieces = generate_pieces(body)
        self.is_sending = True

    def start(self):
        """Write the first piece."""
        self.transport.registerProducer(self, False)

    def resumeProducing(self):
        """Write the next piece, since the transport has sent the last one."""
        piece = next(self.pieces, None)
        if piece is None:
            self.is_sending = False
            self.transport.unregisterProducer()
            return
        self.transport.write(piece)

    def stopProducing(self):
        """Write no more, since the connection is lost."""
        self.pieces = iter(())
        self.is_sending = False
