"""Tests of the splitting of event streams."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from hollyspan_core.errors import StreamMalformedError
from hollyspan_gateway.online import EventSplitter

STREAM = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, 9)
)


@settings(derandomize=True, max_examples=60)
@given(st.lists(st.integers(1, len(STREAM) - 1), max_size=12))
def test_any_split_of_the_bytes_returns_the_same_events(cuts):
    splitter = EventSplitter()
    returned = b""
    edges = [0, *sorted(cuts), len(STREAM)]
    for start, end in zip(edges, edges[1:]):
        complete = splitter.feed(STREAM[start:end])
        assert complete == b"" or complete.endswith(b"\n\n")
        returned += complete
    assert returned == STREAM
    assert (splitter.last_id, splitter.count, splitter.remainder) == (
        8,
        8,
        b"",
    )


def test_a_resumed_stream_continues_after_the_last_event():
    splitter = EventSplitter(last_id=4)
    splitter.feed(b"id: 5\ndata: a\n\n")
    assert splitter.last_id == 5


# Failure: the head of another answer became the beginning of the next event.
@pytest.mark.parametrize(
    "line", [b"HTTP/1.1 500 Error\r", b"server error", b"Stamp: s", b"\xff:"]
)
def test_an_event_with_a_line_that_is_no_field_is_an_error(line):
    splitter = EventSplitter(last_id=4)
    assert splitter.feed(line + b"\nid: 5\ndata: a\n\n") == b""
    assert isinstance(splitter.error, StreamMalformedError)
    splitter.discard_rest()
    event = b"weight-versions: 3\n: comment\nid: 5\nevent:\ndata: a:b\n\n"
    assert splitter.feed(event) == event


@pytest.mark.parametrize("number", [4, 6, 1])
def test_a_gap_or_a_repetition_is_an_error(number):
    splitter = EventSplitter(last_id=4)
    assert splitter.feed(b"id: %d\ndata: a\n\n" % number) == b""
    assert isinstance(splitter.error, StreamMalformedError)
    assert splitter.last_id == 4


WRONG_BYTES = st.sampled_from(
    [
        b"id: x\ndata: wrong\n\n",
        b"id: 1%s\ndata: wrong\n\n" % (b"0" * 5000),
        b"id: 99\ndata: wrong\n\n",
        b"data: without an id\n\n",
        b"HTTP/1.1 200 OK\r\n\r\n\n\n",
    ]
)


# Failure: sound events were counted, but not returned, if wrong bytes
# followed them in the same read.
@settings(derandomize=True, max_examples=60)
@given(
    st.lists(st.integers(1, 200), max_size=6), st.integers(1, 8), WRONG_BYTES
)
def test_sound_events_before_wrong_bytes_are_returned(cuts, sound, wrong):
    parts = STREAM.split(b"\n\n")[:sound]
    expected = b"".join(part + b"\n\n" for part in parts)
    content = expected + wrong + b"id: %d\ndata: later\n\n" % (sound + 1)
    splitter = EventSplitter()
    returned = b""
    edges = [0, *sorted(cut for cut in cuts if cut < len(content))]
    for start, end in zip(edges, [*edges[1:], len(content)]):
        returned += splitter.feed(content[start:end])
    assert returned == expected
    assert (splitter.last_id, splitter.count) == (sound, sound)
    assert isinstance(splitter.error, StreamMalformedError)
    splitter.discard_rest()
    rest = b"id: %d\ndata: again\n\n" % (sound + 1)
    assert splitter.feed(rest) == rest


# Failure: a growing buffer was joined and searched with each piece.
def test_the_work_is_linear_in_the_bytes():
    searched = 0

    class Buffer(bytearray):
        """Buffer that counts the bytes that are searched."""

        def find(self, part, start=0):
            nonlocal searched
            searched += len(self) - start
            return super().find(part, start)

    splitter = EventSplitter()
    buffer = splitter.remainder = Buffer()
    content = b"id: 1\ndata: " + b"x" * 20_000 + b"\n"
    for start in range(len(content)):
        splitter.feed(content[start : start + 1])
    # It grows in place, and only the new bytes are searched.
    assert splitter.remainder is buffer
    assert 0 < searched <= 2 * len(content)
    assert splitter.feed(b"\n") == content + b"\n"


def test_comments_are_returned_at_any_place():
    splitter = EventSplitter(last_id=4)
    assert splitter.feed(b": ping\n\nid: 5\ndata: a\n\n")
    assert splitter.error is None


def test_an_incomplete_event_is_kept_back():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n") == b""
    assert splitter.remainder
