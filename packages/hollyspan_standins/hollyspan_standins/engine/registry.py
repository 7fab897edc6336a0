"""The streams an engine knows, and for how long."""

from collections import OrderedDict

__all__ = ["Registry"]

# Identifiers remembered after their streams have been forgotten.
KEPT_IDENTIFIERS = 100_000


class Registry:
    """Streams by identifier.

    Parameters
    ----------
    clock : IReactorTime
    resume_seconds : float
        Time for which a stream without a connection is kept.
    """

    def __init__(self, *, clock, resume_seconds):
        self.clock = clock
        self.resume_seconds = resume_seconds
        self.streams = {}
        self.seen = OrderedDict()

    def add(self, stream):
        """Remember a new stream; False if its identifier was used."""
        if stream.number in self.seen:
            return False
        self.seen[stream.number] = None
        if len(self.seen) > KEPT_IDENTIFIERS:
            self.seen.popitem(last=False)
        self.streams[stream.number] = stream
        return True

    def get(self, number):
        """Return a stream, or None."""
        return self.streams.get(number)

    def forget(self, stream):
        """Drop a stream."""
        self.stop_timer(stream)
        self.streams.pop(stream.number, None)

    def forget_later(self, stream):
        """Drop a stream after the resume window."""
        self.start_timer(stream, self.forget)

    def start_timer(self, stream, action):
        """Call ``action(stream)`` after the resume window."""
        self.stop_timer(stream)
        stream.timer = self.clock.callLater(
            self.resume_seconds, action, stream
        )

    def stop_timer(self, stream):
        """Stop the timer of a stream, if it has one."""
        if stream.timer is not None and stream.timer.active():
            stream.timer.cancel()
        stream.timer = None
