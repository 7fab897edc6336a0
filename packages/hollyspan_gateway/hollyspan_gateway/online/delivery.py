"""What a client has got of an answer."""

from .events import EventSplitter

__all__ = ["Delivery"]


class Delivery:
    """Passes an answer on and times it.

    Parameters
    ----------
    request : ClientRequest
    clock : callable
        Returns the time of the reactor.
    resume_after : int or None
        Identifier of the last event that the client had before.

    Attributes
    ----------
    first_event : float or None
        Seconds from the arrival to the first byte passed on.
    longest_pause : float
        Longest time between two passes of events, seconds.
    """

    __slots__ = (
        "request",
        "clock",
        "splitter",
        "parts",
        "first_event",
        "passed_at",
        "longest_pause",
    )

    def __init__(self, *, request, clock, resume_after):
        self.request = request
        self.clock = clock
        self.splitter = EventSplitter(last=resume_after)
        self.parts = []
        self.first_event = None
        self.passed_at = None
        self.longest_pause = 0.0

    @property
    def has_begun(self):
        """True once the client has got a part of the answer."""
        return self.first_event is not None

    @property
    def last_event(self):
        """Identifier of the last event passed on, None without one."""
        return self.splitter.last

    @property
    def has_partial_event(self):
        """True when the upstream has ended within an event."""
        return bool(self.splitter.rest)

    def restart(self):
        """Forget what an upstream has sent and the client has not got."""
        self.parts = []
        self.splitter.rest = b""

    def keep(self, data):
        """Keep a part of an answer that is sent as a whole."""
        self.parts.append(data)

    def pass_events(self, data, reply):
        """Pass on the events that are whole.

        Parameters
        ----------
        data : bytes
        reply : UpstreamReply
            Its head goes first.

        Returns
        -------
        int
            Events passed on.
        """
        before = self.splitter.count
        whole = self.splitter.feed(data)
        if whole:
            self.begin(reply)
            self.note_pause()
            if self.request.is_open:
                self.request.write(whole)
        return self.splitter.count - before

    def begin(self, reply):
        """Send the head of a stream, once."""
        if not self.has_begun:
            self.first_event = self.clock() - self.request.arrived
            self.request.begin(reply.status, reply.headers)

    def note_pause(self):
        """Measure the time since events were passed on last."""
        now = self.clock()
        if self.passed_at is not None:
            pause = now - self.passed_at
            self.longest_pause = max(self.longest_pause, pause)
        self.passed_at = now

    def end_stream(self, reply):
        """End a stream."""
        self.begin(reply)
        self.request.end()

    def answer(self, reply):
        """Send the whole answer."""
        self.request.answer(reply.status, reply.headers, b"".join(self.parts))
