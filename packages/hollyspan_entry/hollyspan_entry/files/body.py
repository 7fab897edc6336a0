"""Request body that is read while it arrives."""

import collections

from twisted.internet import defer

from hollyspan_core.errors import InvalidRequestError

from ..intake import count_pieces

__all__ = ["BodyStream"]

HIGH_WATER_BYTES = 262_144


class BodyStream:
    """Replaces the temporary file in which twisted.web stores a body.

    Parameters
    ----------
    transport : IPushProducer
        Paused when more than `HIGH_WATER_BYTES` are queued, and resumed when
        the queue is empty.

    Notes
    -----
    twisted.web writes longer bodies to a temporary file. Most instances have
    no disk, and an in-memory file system would hold the whole upload.
    """

    __slots__ = (
        "transport",
        "queue",
        "queued_bytes",
        "size",
        "ended",
        "connection_lost",
        "pending_read",
        "paused",
    )

    def __init__(self, *, transport):
        self.transport = transport
        self.queue = collections.deque()
        self.queued_bytes = 0
        self.size = 0
        self.ended = False
        self.connection_lost = False
        self.pending_read = None
        self.paused = False

    def write(self, data):
        """Queue bytes received from the connection."""
        count_pieces(1)
        self.size += len(data)
        self.queue.append(data)
        self.queued_bytes += len(data)
        if self.queued_bytes > HIGH_WATER_BYTES and not self.paused:
            self.paused = True
            self.transport.pauseProducing()
        self.notify_reader()

    def tell(self):
        """Return the number of bytes received."""
        return self.size

    def seek(self, offset, whence=0):
        """Do nothing; called by twisted.web at the end of the body."""

    def finish(self):
        """Mark the body as complete."""
        self.ended = True
        self.notify_reader()

    def close(self):
        """End the body; fail the reader if the body is incomplete."""
        if not self.ended:
            self.connection_lost = True
            self.notify_reader()

    def notify_reader(self):
        pending_read, self.pending_read = self.pending_read, None
        if pending_read is not None:
            pending_read.callback(None)

    async def read(self):
        """Return the next bytes, or empty bytes at the end of the body.

        Returns
        -------
        bytes

        Raises
        ------
        InvalidRequestError
            The connection was lost before the end.
        """
        while not self.queue and not self.ended and not self.connection_lost:
            self.pending_read = defer.Deferred()
            await self.pending_read
        if self.connection_lost:
            raise InvalidRequestError("the body is incomplete")
        if not self.queue:
            return b""
        data = self.queue.popleft()
        self.queued_bytes -= len(data)
        if self.paused and not self.queue:
            self.paused = False
            if not self.ended:
                self.transport.resumeProducing()
        return data
