"""Tests of documents that are put together as bytes."""

import json

import pytest

from hollyspan_core.documents import encode_with_rows
from hollyspan_core.documents import encode_with_text
from hollyspan_core.documents import parse_positive


@pytest.mark.parametrize("text", ["", "x" * 100])
def test_a_document_with_a_long_text_is_the_same(text):
    encoded = encode_with_text({"a": [1]}, "b", text.encode())
    assert json.loads(encoded) == {"a": [1], "b": text}


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
