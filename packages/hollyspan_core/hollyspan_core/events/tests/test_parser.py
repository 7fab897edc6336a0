"""Tests of the parser for server-sent events."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from hollyspan_core.errors import StreamMalformedError
from hollyspan_core.events import EventParser


def parse(*parts):
    events = []
    parser = EventParser(on_event=lambda *event: events.append(event))
    for part in parts:
        parser.feed(part)
    return events


def test_plain_events():
    content = b"id: 1\ndata: {}\n\nid: 2\ndata: x\n\ndata: [DONE]\n\n"
    assert parse(content) == [(1, b"{}"), (2, b"x"), (None, b"[DONE]")]


def test_general_rules():
    content = b": note\r\n\r\nevent: e\r\nid:7\r\ndata: a\r\ndata:b\r\n\r\n"
    assert parse(content) == [(7, b"a\nb")]


def test_non_numeric_id():
    with pytest.raises(StreamMalformedError):
        parse(b"id: seven\ndata: x\n\n")


# Failure: the head of another answer became the beginning of an event.
@pytest.mark.parametrize(
    "line", [b"HTTP/1.1 500 Error", b"server error", b"Stamp: s", b"\xff:"]
)
def test_a_line_that_is_no_field_is_an_error(line):
    assert parse(b"weight-versions: 3\nid: 1\ndata: x\n\n") == [(1, b"x")]
    with pytest.raises(StreamMalformedError):
        parse(line + b"\nid: 1\ndata: x\n\n")


def test_oversized_event():
    with pytest.raises(StreamMalformedError):
        parse(b"data: " + b"x" * 1_000_001)


@given(
    st.lists(st.binary(max_size=30), max_size=8),
    st.lists(st.integers(0, 300), max_size=6),
    st.sampled_from([b"\n", b"\r\n"]),
)
def test_events_do_not_depend_on_chunk_boundaries(datas, cuts, line_end):
    datas = [d.replace(b"\n", b"").replace(b"\r", b"") for d in datas]
    content = b"".join(
        b"id: %d%sdata: %s%s" % (n, line_end, data, line_end * 2)
        for n, data in enumerate(datas, 1)
    )
    boundaries = [0, *sorted(min(c, len(content)) for c in cuts), len(content)]
    parts = [content[a:b] for a, b in zip(boundaries, boundaries[1:])]
    assert parse(*parts) == list(enumerate(datas, 1))


# Failure: a growing buffer was joined and searched with each piece.
@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_the_work_is_linear_in_the_bytes(monkeypatch, line_end):
    searched = 0

    class Buffer(bytearray):
        """Buffer that counts the bytes that are searched."""

        def find(self, part, start=0):
            nonlocal searched
            searched += len(self) - start
            return super().find(part, start)

    events = []
    parser = EventParser(on_event=lambda *event: events.append(event))
    buffer = parser.buffer = Buffer()
    content = b"id: 1" + line_end + b"data: " + b"x" * 20_000
    for start in range(len(content)):
        parser.feed(content[start : start + 1])
    # It grows in place, and only the new bytes are searched.
    assert parser.buffer is buffer
    assert 0 < searched <= 2 * len(content) + 2
    parser.feed(line_end * 2)
    parser.feed(b":")
    assert events == [(1, b"x" * 20_000)]


def test_an_event_of_too_many_lines_is_an_error():
    lines = b"data: x\n" * 9_999
    assert len(parse(lines + b"\n")) == 1
    with pytest.raises(StreamMalformedError):
        parse(b":\n" * 10_001 + b"\n")


def test_a_carriage_return_at_the_end_is_a_partial_event():
    parser = EventParser(on_event=lambda *event: None)
    parser.feed(b"id: 1\r\ndata: x\r\n\r\n")
    assert not parser.has_partial_event
    parser.feed(b"\r")
    assert parser.has_partial_event


@given(st.lists(st.binary(max_size=60), max_size=5))
def test_arbitrary_bytes_give_events_or_a_typed_error(parts):
    try:
        events = parse(*parts)
    except StreamMalformedError:
        return
    assert all(o is None or isinstance(o, int) for o, _ in events)
