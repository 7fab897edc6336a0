from hypothesis import given
from hypothesis import strategies
import pytest

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import InvalidRequestError
from hollyspan_entry.files.form import find_boundary
from hollyspan_entry.files.form import FormReader

FORM = (
    b'--cut\r\ncontent-disposition: form-data; name="purpose"\r\n\r\n'
    b"batch\r\n"
    b'--cut\r\ncontent-disposition: form-data; name="file"; '
    b'filename="a.jsonl"\r\n\r\n'
    b"one\r\ntwo\n\r\n--cut--\r\n"
)


@given(strategies.integers(min_value=1, max_value=len(FORM)))
def test_form_is_read_piece_by_piece(size):
    pieces = []
    reader = FormReader(boundary="cut", on_data=pieces.append)
    for start in range(0, len(FORM), size):
        reader.feed(FORM[start : start + size])
    reader.feed(b"")
    assert b"".join(pieces) == b"one\r\ntwo\n"
    assert reader.fields == {"purpose": "batch"}
    assert reader.filename == "a.jsonl"


@given(strategies.binary(max_size=200))
def test_random_bytes_are_refused(content):
    reader = FormReader(boundary="cut", on_data=lambda data: None)
    with pytest.raises(HollyspanError):
        reader.feed(content)
        reader.feed(b"")


def test_truncated_form_is_refused():
    reader = FormReader(boundary="cut", on_data=lambda data: None)
    reader.feed(FORM[:-10])
    with pytest.raises(InvalidRequestError):
        reader.feed(b"")


@pytest.mark.parametrize("kind", [None, "", "application/json", "multipart/"])
def test_other_content_type_is_refused(kind):
    with pytest.raises(InvalidRequestError):
        find_boundary(kind)
