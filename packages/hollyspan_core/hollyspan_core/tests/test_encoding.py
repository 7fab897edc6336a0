"""Tests of documents that are put together as bytes."""

import json

import pytest

from hollyspan_core.documents import encode_with_rows
from hollyspan_core.documents import parse_positive
from hollyspan_core.documents import split_at_text


@pytest.mark.parametrize("text", ["", "x" * 100])
def test_a_document_with_a_long_text_is_the_same(text):
    start, end = split_at_text({"a": [1]}, "b")
    assert json.loads(start + text.encode() + end) == {"a": [1], "b": text}


@pytest.mark.parametrize("rows", [[], [{"x": "\u4e16"}], [1, "]}", None]])
def test_a_document_with_encoded_rows_is_the_same(rows):
    encoded = [json.dumps(row).encode() for row in rows]
    assert json.loads(encode_with_rows({"a": 1}, "b", encoded)) == {
        "a": 1,
        "b": rows,
    }


@pytest.mark.parametrize("text", [b"", b"0", b"-1", b"inf", b"nan", b"x"])
def test_what_is_no_positive_number_is_none(text):
    assert parse_positive(text) is None
