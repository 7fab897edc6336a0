import json

from hypothesis import given
from hypothesis import strategies
import pytest

from hollyspan_core.errors import InputLineError
from hollyspan_entry.files.lines import LineChecker
from hollyspan_entry.files.splitter import ChunkSplitter
from hollyspan_entry.files.splitter import FIRST_CHUNK_ITEMS
from hollyspan_entry.files.splitter import MAX_LINE_BYTES


def build_splitter(chunk_items=500):
    chunks = []
    result = ChunkSplitter(
        checker=LineChecker(),
        chunk_items=chunk_items,
        on_chunk=lambda content, items: chunks.append((content, items)),
    )
    return result, chunks


def build_file(count, end=b"\n"):
    lines = [
        json.dumps(
            {
                "custom_id": f"item-{number}",
                "method": "POST",
                "url": "/v1/completions",
                "body": {"model": "m", "prompt": "tide"},
            }
        ).encode()
        for number in range(count)
    ]
    return b"\n".join(lines) + end


@given(
    pieces=strategies.integers(min_value=1, max_value=4000),
    end=strategies.sampled_from([b"", b"\n", b"\n\n"]),
)
def test_chunks_hold_the_file_byte_for_byte(pieces, end):
    content = build_file(60, end)
    cutter, chunks = build_splitter(chunk_items=7)
    for start in range(0, len(content), pieces):
        cutter.feed(content[start : start + pieces])
    cutter.finish()
    assert b"".join(chunk for chunk, _ in chunks) == content
    assert sum(items for _, items in chunks) == 60
    assert max(items for _, items in chunks) <= 7


def test_chunks_grow_with_the_file():
    cutter, chunks = build_splitter()
    cutter.feed(build_file(2000))
    cutter.finish()
    sizes = [items for _, items in chunks]
    assert sizes[0] == FIRST_CHUNK_ITEMS
    assert sizes[:-1] == sorted(sizes[:-1])
    assert sum(sizes) == 2000


def test_line_that_no_chunk_can_hold_is_refused():
    cutter, _ = build_splitter()
    cutter.feed(build_file(2))
    with pytest.raises(InputLineError, match="^line 3: "):
        cutter.feed(b"x" * (MAX_LINE_BYTES + 1))


@given(strategies.binary(max_size=300))
def test_any_bytes_are_refused_by_type(content):
    cutter, _ = build_splitter()
    with pytest.raises(InputLineError):
        cutter.feed(content)
        cutter.finish()
