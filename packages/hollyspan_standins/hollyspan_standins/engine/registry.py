"""Registry of the streams of an engine."""

from collections import OrderedDict

__all__ = ["Registry"]

# Used identifiers kept for the detection of duplicates, including those of
# discarded streams.
MAX_USED_IDENTIFIERS = 100_000


class Registry:
    """Streams by identifier.

    Parameters
    ----------
    clock : IReactorTime
    resume_seconds : float
        Length of the resume window: the time for which a stream without a
        connection is kept.
    """

    def __init__(self, *, clock, resume_seconds):
        self.clock = clock
        self.resume_seconds = resume_seconds
        self.streams = {}
        self.used_identifiers = OrderedDict()

    def add(self, stream):
        """Add a new stream; return False if its identifier was used before."""
        if stream.identifier in self.used_identifiers:
            return False
        self.used_identifiers[stream.identifier] = None
        if len(self.used_identifiers) > MAX_USED_IDENTIFIERS:
            self.used_identifiers.popitem(last=False)
        self.streams[stream.identifier] = stream
        return True

    def get(self, identifier):
        """Return a stream, or None."""
        return self.streams.get(identifier)

    def discard(self, stream):
        """Remove a stream."""
        self.stop_timer(stream)
        self.streams.pop(stream.identifier, None)

    def discard_later(self, stream):
        """Remove a stream after the resume window."""
        self.start_timer(stream, self.discard)

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
