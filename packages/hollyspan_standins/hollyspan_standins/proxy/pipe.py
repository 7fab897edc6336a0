"""One direction of a connection, with delay and freeze."""

from collections import deque

__all__ = ["Pipe"]


class Pipe:
    """Forwards data in order.

    Parameters
    ----------
    link : Link
    write : callable
        Called with bytes to write to the receiving side.
    close : callable
        Called after all data has been written, to close the receiving side.
    """

    def __init__(self, *, link, write, close):
        self.link = link
        self.write = write
        self.close = close
        self.queue = deque()
        self.last_due = 0.0
        self.timer = None
        link.pipes.add(self)

    def push(self, data):
        """Queue data to write when due; None closes the receiving side."""
        due = self.link.reactor.seconds() + self.link.delay_seconds
        self.last_due = max(due, self.last_due)
        self.queue.append((self.last_due, data))
        self.write_due()

    def write_due(self):
        """Write all data that is due."""
        if self.timer is not None:
            return
        while self.queue and not self.link.freeze:
            delay = self.queue[0][0] - self.link.reactor.seconds()
            if delay > 0:
                self.timer = self.link.reactor.callLater(delay, self._resume)
                return
            self._write(self.queue.popleft()[1])

    def discard(self):
        """Drop all queued data."""
        self.queue.clear()
        self.link.pipes.discard(self)
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def _resume(self):
        self.timer = None
        self.write_due()

    def _write(self, data):
        if data is None:
            self.link.pipes.discard(self)
            self.close()
        else:
            self.write(data)
