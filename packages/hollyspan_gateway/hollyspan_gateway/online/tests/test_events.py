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


@pytest.mark.parametrize("number", [4, 6, 1])
def test_a_gap_or_a_repetition_is_an_error(number):
    splitter = EventSplitter(last_id=4)
    with pytest.raises(StreamMalformedError):
        splitter.feed(b"id: %d\ndata: a\n\n" % number)


def test_an_incomplete_event_is_kept_back():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n") == b""
    assert splitter.remainder
