"""Splitting of an event stream into events without parsing their data."""

from hollyspan_core.errors import StreamMalformedError

__all__ = ["EventSplitter"]

# Far above the size of an event with one piece of text.
MAX_EVENT_BYTES = 1_000_000
ID_PREFIX = b"id:"


class EventSplitter:
    """Splits a stream into complete events with consecutive identifiers.

    Parameters
    ----------
    last_id : int or None
        Identifier of the last event returned; None to accept any first
        identifier.

    Attributes
    ----------
    last_id : int or None
    count : int
        Number of events returned.
    """

    __slots__ = ("last_id", "remainder", "count")

    def __init__(self, *, last_id=None):
        self.last_id = last_id
        self.remainder = b""
        self.count = 0

    def feed(self, data):
        """Add received bytes and return the events that they complete.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        bytes

        Raises
        ------
        StreamMalformedError
            An event is missing, repeated or too large.
        """
        data = self.remainder + data
        end = data.rfind(b"\n\n") + 2
        if end < 2:
            self.remainder = data
            self.check_size()
            return b""
        complete, self.remainder = data[:end], data[end:]
        self.check_size()
        for event in complete[:-2].split(b"\n\n"):
            self.check_event(event)
        return complete

    def check_size(self):
        if len(self.remainder) > MAX_EVENT_BYTES:
            raise StreamMalformedError(
                f"an event exceeds {MAX_EVENT_BYTES} bytes"
            )

    def check_event(self, event):
        self.count += 1
        number = parse_event_id(event)
        if number is None:
            return
        if self.last_id is not None and number != self.last_id + 1:
            raise StreamMalformedError(
                f"event {number} follows event {self.last_id}"
            )
        self.last_id = number


def parse_event_id(event):
    """Return the number in an event's id line, or None."""
    for line in event.split(b"\n"):
        if line.startswith(ID_PREFIX):
            value = line[len(ID_PREFIX) :].strip()
            if not value.isdigit():
                raise StreamMalformedError("the id of an event is no number")
            return int(value)
    return None
