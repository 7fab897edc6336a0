"""Parser for server-sent events."""

from ..errors import StreamMalformedError
from .fields import has_only_fields

__all__ = ["ERROR_PREFIXES", "EventParser"]

MAX_EVENT_BYTES = 1_000_000
# Far more than the lines of an event of one token or one tool call.
MAX_EVENT_LINES = 10_000
MAX_OFFSET_DIGITS = 12
ERROR_PREFIXES = (b'{"error"', b'{ "error"')


class EventParser:
    """Parser that splits the bytes of a stream into events.

    Parameters
    ----------
    on_event : callable
        Called with the offset of an event and its data. The offset is None
        for an event without an ``id`` line.

    Notes
    -----
    Engines send each token as an event of one ``id`` line and one ``data``
    line. Such an event takes a fast path that does not inspect its other
    bytes; all others are parsed by the general rules of the format [1]_. The
    work is linear in the bytes, however they are divided.

    References
    ----------
    .. [1] WHATWG HTML, "Server-sent events",
       https://html.spec.whatwg.org/multipage/server-sent-events.html
    """

    __slots__ = ("on_event", "buffer", "has_trailing_cr")

    def __init__(self, *, on_event):
        self.on_event = on_event
        self.buffer = bytearray()
        self.has_trailing_cr = False

    @property
    def has_partial_event(self):
        """True when the bytes so far end within an event."""
        return bool(self.buffer) or self.has_trailing_cr

    def feed(self, data):
        """Process bytes and report the events that they complete.

        Parameters
        ----------
        data : bytes

        Raises
        ------
        StreamMalformedError
            The bytes are not an event stream, or an event is too large.
        """
        if self.has_trailing_cr:
            data = b"\r" + data
            self.has_trailing_cr = False
        if b"\r" in data:
            # The LF of a CRLF may still arrive.
            if data.endswith(b"\r"):
                data = data[:-1]
                self.has_trailing_cr = True
            data = data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        # What was kept has no separator, but may end with half of one.
        start = max(0, len(self.buffer) - 1)
        self.buffer += data
        blocks = ()
        if self.buffer.find(b"\n\n", start) >= 0:
            *blocks, rest = bytes(self.buffer).split(b"\n\n")
            self.buffer = bytearray(rest)
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise StreamMalformedError(
                f"an event exceeds {MAX_EVENT_BYTES} bytes"
            )
        for block in blocks:
            head, separator, content = block.partition(b"\ndata: ")
            event_id = head[4:]
            if (
                separator
                and head[:4] == b"id: "
                and event_id.isdigit()
                and len(event_id) <= MAX_OFFSET_DIGITS
                and b"\n" not in content
            ):
                self.on_event(int(event_id), content)
            elif block:
                self.parse_block(block)

    def parse_block(self, block):
        """Parse one event by the general rules."""
        if block.count(b"\n") >= MAX_EVENT_LINES:
            raise StreamMalformedError(
                f"an event has more than {MAX_EVENT_LINES} lines"
            )
        if not has_only_fields(block):
            raise StreamMalformedError("a line of an event is no field")
        offset = None
        lines = []
        for line in block.split(b"\n"):
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"data":
                lines.append(value)
            elif name == b"id":
                offset = parse_offset(value)
        if lines:
            self.on_event(offset, b"\n".join(lines))


def parse_offset(value):
    """Return the offset in the value of an ``id`` line."""
    if not value.isdigit() or len(value) > MAX_OFFSET_DIGITS:
        raise StreamMalformedError("the id of an event is no number")
    return int(value)
