"""Splitting of an event stream without looking at its data."""

from hollyspan_core.errors import StreamMalformedError

__all__ = ["EventSplitter"]

# Bytes of one event, far above what a piece of text has.
MAX_EVENT_BYTES = 1_000_000
ID_PREFIX = b"id:"


class EventSplitter:
    """Passes on whole events whose identifiers follow each other.

    Parameters
    ----------
    last : int or None
        Identifier of the last event that was passed on; None to take the
        first one as it comes.

    Attributes
    ----------
    last : int or None
    count : int
        Events passed on.
    """

    __slots__ = ("last", "rest", "count")

    def __init__(self, *, last=None):
        self.last = last
        self.rest = b""
        self.count = 0

    def feed(self, data):
        """Take in bytes and return those of the events that they complete.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        bytes

        Raises
        ------
        StreamMalformedError
            An event is missing, comes twice or is too large.
        """
        data = self.rest + data
        end = data.rfind(b"\n\n") + 2
        if end < 2:
            self.rest = data
            self.check_size()
            return b""
        whole, self.rest = data[:end], data[end:]
        self.check_size()
        for event in whole[:-2].split(b"\n\n"):
            self.check_event(event)
        return whole

    def check_size(self):
        if len(self.rest) > MAX_EVENT_BYTES:
            raise StreamMalformedError(
                f"an event exceeds {MAX_EVENT_BYTES} bytes"
            )

    def check_event(self, event):
        self.count += 1
        number = find_identifier(event)
        if number is None:
            return
        if self.last is not None and number != self.last + 1:
            raise StreamMalformedError(
                f"event {number} follows event {self.last}"
            )
        self.last = number


def find_identifier(event):
    """Return the number of an event's id line, or None."""
    for line in event.split(b"\n"):
        if line.startswith(ID_PREFIX):
            value = line[len(ID_PREFIX) :].strip()
            if not value.isdigit():
                raise StreamMalformedError("the id of an event is no number")
            return int(value)
    return None
