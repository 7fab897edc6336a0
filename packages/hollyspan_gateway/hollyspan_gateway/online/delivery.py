"""Delivery of an answer to a client."""

from hollyspan_core.errors import StreamMalformedError

from ..http1 import PLAIN_ANSWER
from .answers import check_events_end
from .events import EventSplitter

__all__ = ["Delivery"]

# Limit on an answer that is sent as a whole, also where events were expected.
MAX_BUFFERED_BYTES = PLAIN_ANSWER.limits.content_bytes


class Delivery:
    """Forwards an answer to the client and times it.

    Parameters
    ----------
    request : ClientRequest
    clock : callable
        Returns the current time, reactor seconds.
    resume_after : int or None
        Identifier of the last event that the client received earlier.

    Attributes
    ----------
    first_event : float or None
        Seconds from the request's arrival to the first byte forwarded.
    longest_pause : float
        Longest time between two writes of events, seconds.
    attempt_began_at : float or None
        Time of the first event of the current attempt.
    attempt_base : int
        Events received by then, from all attempts.
    """

    __slots__ = (
        "request",
        "clock",
        "splitter",
        "parts",
        "buffered_bytes",
        "first_event",
        "last_forwarded_at",
        "longest_pause",
        "last_event_before",
        "attempt_began_at",
        "attempt_base",
    )

    def __init__(self, *, request, clock, resume_after):
        self.request = request
        self.clock = clock
        self.splitter = EventSplitter(last_id=resume_after)
        self.parts = []
        self.buffered_bytes = 0
        self.first_event = None
        self.last_forwarded_at = None
        self.longest_pause = 0.0
        self.last_event_before = resume_after
        self.attempt_began_at = None
        self.attempt_base = 0

    @property
    def has_begun(self):
        """True once a part of the answer was sent to the client."""
        return self.first_event is not None

    @property
    def last_event(self):
        """Identifier of the last event forwarded, None without one."""
        return self.splitter.last_id

    @property
    def has_partial_event(self):
        """True when the bytes received so far end within an event."""
        return bool(self.splitter.remainder)

    @property
    def kept_bytes(self):
        """Received bytes that were not sent to the client."""
        return self.buffered_bytes + len(self.splitter.remainder)

    @property
    def has_new_events(self):
        """True once the current attempt has brought an event."""
        return self.last_event != self.last_event_before

    def check_end(self, reply):
        """Return an error if a stream does not end as a whole one.

        Parameters
        ----------
        reply : UpstreamReply
            Answer to the current attempt, which has ended.

        Returns
        -------
        StreamLostError or None
        """
        return check_events_end(
            reply,
            has_new_events=self.has_new_events,
            has_partial_event=self.has_partial_event,
        )

    def start_attempt(self):
        """Prepare for the answer of another attempt."""
        self.discard_unsent()
        self.last_event_before = self.last_event
        self.attempt_began_at = None

    def discard_unsent(self):
        """Discard received data that was not sent to the client."""
        self.parts = []
        self.buffered_bytes = 0
        self.splitter.discard_rest()

    def buffer(self, data):
        """Buffer a part of an answer that is sent as a whole.

        Raises
        ------
        StreamMalformedError
            The answer is too large.
        """
        self.parts.append(data)
        self.buffered_bytes += len(data)
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            self.discard_unsent()
            raise StreamMalformedError(
                f"an answer exceeds {MAX_BUFFERED_BYTES} bytes"
            )

    def forward_events(self, data, reply):
        """Forward the events that are complete.

        What follows them may be malformed, see `require_sound`.

        Parameters
        ----------
        data : bytes
        reply : UpstreamReply
            Its head is sent before the first event.

        Returns
        -------
        int
            Number of events forwarded.
        """
        before = self.splitter.count
        complete = self.splitter.feed(data)
        if complete:
            self.begin(reply)
            self.record_pause()
            if self.attempt_began_at is None:
                self.attempt_began_at = self.last_forwarded_at
                self.attempt_base = self.splitter.count
            if self.request.is_open:
                self.request.write(complete)
        return self.splitter.count - before

    def require_sound(self):
        """Raise an error if the bytes behind the last event are malformed.

        Raises
        ------
        StreamMalformedError
        """
        if self.splitter.error is not None:
            raise self.splitter.error

    def begin(self, reply):
        """Send the head of a stream unless it was sent before."""
        if not self.has_begun:
            self.first_event = self.clock() - self.request.arrived_at
            self.request.begin(reply.status, reply.headers)

    def record_pause(self):
        """Update the longest pause between two writes of events."""
        now = self.clock()
        if self.last_forwarded_at is not None:
            pause = now - self.last_forwarded_at
            self.longest_pause = max(self.longest_pause, pause)
        self.last_forwarded_at = now

    def measure_pace(self):
        """Return how long the current attempt's events took.

        Returns
        -------
        dict
            `seconds` from the first event to the last one, and the number of
            `events` after the first one.
        """
        if self.attempt_began_at is None:
            return {"seconds": 0.0, "events": 0}
        return {
            "seconds": self.last_forwarded_at - self.attempt_began_at,
            "events": self.splitter.count - self.attempt_base,
        }

    def measure_silence(self, *, since):
        """Return the seconds without an event, at most those since a time."""
        last = self.last_forwarded_at
        return self.clock() - (since if last is None else max(since, last))

    def end_stream(self, reply):
        """End a stream."""
        self.begin(reply)
        self.request.end()

    def answer(self, reply):
        """Send a buffered answer as a whole."""
        self.request.answer(reply.status, reply.headers, b"".join(self.parts))
