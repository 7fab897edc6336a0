"""Body of a request that is read while it arrives."""

import collections

from twisted.internet import defer

from hollyspan_core.errors import InvalidRequestError

__all__ = ["BodyStream"]

HIGH_WATER_BYTES = 262_144


class BodyStream:
    """Takes the place of the file that twisted.web puts a body into.

    Parameters
    ----------
    transport : IPushProducer
        Paused while much of the body waits to be read.

    Notes
    -----
    twisted.web puts longer bodies into a temporary file; instances mostly
    have no disk, and a file system in memory would hold the whole upload.
    """

    __slots__ = (
        "transport",
        "queue",
        "waiting_bytes",
        "size",
        "ended",
        "broken",
        "reader",
        "paused",
    )

    def __init__(self, *, transport):
        self.transport = transport
        self.queue = collections.deque()
        self.waiting_bytes = 0
        self.size = 0
        self.ended = False
        self.broken = False
        self.reader = None
        self.paused = False

    def write(self, data):
        """Take in bytes from the connection."""
        self.size += len(data)
        self.queue.append(data)
        self.waiting_bytes += len(data)
        if self.waiting_bytes > HIGH_WATER_BYTES and not self.paused:
            self.paused = True
            self.transport.pauseProducing()
        self.wake()

    def tell(self):
        """Return the count of bytes taken in."""
        return self.size

    def seek(self, offset, whence=0):
        """Do nothing; called by twisted.web at the end of the body."""

    def finish(self):
        """Note the end of the body."""
        self.ended = True
        self.wake()

    def close(self):
        """Note that the connection was lost or the request is done."""
        if not self.ended:
            self.broken = True
            self.wake()

    def wake(self):
        reader, self.reader = self.reader, None
        if reader is not None:
            reader.callback(None)

    async def read(self):
        """Return the next bytes, none at the end of the body.

        Returns
        -------
        bytes

        Raises
        ------
        InvalidRequestError
            The connection was lost before the end.
        """
        while not self.queue and not self.ended and not self.broken:
            self.reader = defer.Deferred()
            await self.reader
        if self.broken:
            raise InvalidRequestError("the body broke off")
        if not self.queue:
            return b""
        data = self.queue.popleft()
        self.waiting_bytes -= len(data)
        if self.paused and not self.queue:
            self.paused = False
            if not self.ended:
                self.transport.resumeProducing()
        return data
