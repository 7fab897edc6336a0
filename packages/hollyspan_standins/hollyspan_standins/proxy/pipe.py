"""One direction of a connection, in order, with delay and freeze."""

from collections import deque

__all__ = ["Pipe"]


class Pipe:
    """Passes data on in order.

    Parameters
    ----------
    link : Link
    write : callable
        Takes bytes.
    close : callable
        Closes the far side; called after all data has been written.
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
        """Pass data on, now or later; None closes the far side."""
        due = self.link.reactor.seconds() + self.link.delay_seconds
        self.last_due = max(due, self.last_due)
        self.queue.append((self.last_due, data))
        self.pump()

    def pump(self):
        """Write what is due."""
        if self.timer is not None:
            return
        while self.queue and not self.link.freeze:
            wait = self.queue[0][0] - self.link.reactor.seconds()
            if wait > 0:
                self.timer = self.link.reactor.callLater(wait, self._resume)
                return
            self._write(self.queue.popleft()[1])

    def discard(self):
        """Drop all that is held back."""
        self.queue.clear()
        self.link.pipes.discard(self)
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def _resume(self):
        self.timer = None
        self.pump()

    def _write(self, data):
        if data is None:
            self.link.pipes.discard(self)
            self.close()
        else:
            self.write(data)
