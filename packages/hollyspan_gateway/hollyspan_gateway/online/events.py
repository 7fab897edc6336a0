"""Splitting of an event stream into events without parsing their data."""

import re

from hollyspan_core.errors import StreamMalformedError
from hollyspan_core.events import has_only_fields

__all__ = ["EventSplitter"]

# Far above the size of an event with one piece of text.
MAX_EVENT_BYTES = 1_000_000
MAX_ID_DIGITS = 12
SEPARATOR = b"\n\n"
ID_PATTERN = re.compile(rb"^id:([^\n]*)", re.MULTILINE)
FIELD_PATTERN = re.compile(rb"^[^:\n]", re.MULTILINE)


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
    error : StreamMalformedError or None
        What is wrong with the bytes behind the events returned: an event is
        missing, repeated, too large, without an identifier or with a line
        that is no field.

    Notes
    -----
    The work is linear in the bytes, however they are divided.
    """

    __slots__ = ("last_id", "remainder", "count", "error")

    def __init__(self, *, last_id=None):
        self.last_id = last_id
        self.remainder = bytearray()
        self.count = 0
        self.error = None

    def discard_rest(self):
        """Discard what follows the events returned, and its error."""
        self.remainder = bytearray()
        self.error = None

    def feed(self, data):
        """Add received bytes and return the events that they complete.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        bytes
            The events before the first malformed one, see `error`.
        """
        if self.error is not None:
            return b""
        # What was kept has no separator, but may end with half of one.
        start = max(0, len(self.remainder) - 1)
        self.remainder += data
        events = []
        if self.remainder.find(SEPARATOR, start) >= 0:
            *events, rest = bytes(self.remainder).split(SEPARATOR)
            self.remainder = bytearray(rest)
        sound_count = len(events)
        try:
            for index, event in enumerate(events):
                sound_count = index
                self.last_id = find_next_id(event, last_id=self.last_id)
                sound_count = index + 1
            check_size(self.remainder)
        except StreamMalformedError as error:
            self.error = error
            self.remainder = bytearray()
        self.count += sound_count
        return b"".join(event + SEPARATOR for event in events[:sound_count])


def check_size(event):
    if len(event) > MAX_EVENT_BYTES:
        raise StreamMalformedError(f"an event exceeds {MAX_EVENT_BYTES} bytes")


def find_next_id(event, *, last_id):
    """Return the identifier of the last event once this one is returned.

    Parameters
    ----------
    event : bytes
    last_id : int or None
        Identifier of the event before; None to accept any.

    Raises
    ------
    StreamMalformedError
        The event does not follow.
    """
    check_size(event)
    if not has_only_fields(event):
        raise StreamMalformedError("a line of an event is no field")
    number = parse_event_id(event)
    if number is None:
        if not is_comment(event):
            raise StreamMalformedError("an event has no id")
        return last_id
    if last_id is not None and number != last_id + 1:
        raise StreamMalformedError(f"event {number} follows event {last_id}")
    return number


def is_comment(event):
    """Return whether an event has no fields."""
    return FIELD_PATTERN.search(event) is None


def parse_event_id(event):
    """Return the number in an event's id line, or None."""
    found = ID_PATTERN.search(event)
    if found is None:
        return None
    value = found[1].strip()
    if not value.isdigit() or len(value) > MAX_ID_DIGITS:
        raise StreamMalformedError("the id of an event is no number")
    return int(value)
