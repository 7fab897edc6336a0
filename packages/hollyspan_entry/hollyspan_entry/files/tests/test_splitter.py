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
    chunk_splitter, chunks = build_splitter(chunk_items=7)
    for start in range(0, len(content), pieces):
        chunk_splitter.feed(content[start : start + pieces])
    chunk_splitter.finish()
    assert b"".join(chunk for chunk, _ in chunks) == content
    assert sum(items for _, items in chunks) == 60
    assert max(items for _, items in chunks) <= 7


def test_chunks_grow_with_the_file():
    chunk_splitter, chunks = build_splitter()
    chunk_splitter.feed(build_file(2000))
    chunk_splitter.finish()
    sizes = [items for _, items in chunks]
    assert sizes[0] == FIRST_CHUNK_ITEMS
    assert sizes[:-1] == sorted(sizes[:-1])
    assert sum(sizes) == 2000


def test_line_longer_than_a_chunk_is_refused():
    chunk_splitter, _ = build_splitter()
    chunk_splitter.feed(build_file(2))
    with pytest.raises(InputLineError, match="^line 3: "):
        chunk_splitter.feed(b"x" * (MAX_LINE_BYTES + 1))


@given(strategies.binary(max_size=300))
def test_random_bytes_are_refused(content):
    chunk_splitter, _ = build_splitter()
    with pytest.raises(InputLineError):
        chunk_splitter.feed(content)
        chunk_splitter.finish()


# Failure: the whole line was copied for each of its pieces.
def test_pieces_of_a_line_are_joined_once():
    chunk_splitter, _ = build_splitter()
    pieces = [bytes([97 + number % 26]) * 16 for number in range(1000)]
    for piece in pieces:
        chunk_splitter.feed(piece)
    assert chunk_splitter.parts == pieces
    with pytest.raises(InputLineError, match="longer than"):
        for _ in range(MAX_LINE_BYTES // 16):
            chunk_splitter.feed(pieces[0])
