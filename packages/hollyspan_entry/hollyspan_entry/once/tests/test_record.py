from hypothesis import given
from hypothesis import strategies as st
import pytest

from hollyspan_core.errors import OutcomeUnknownError
from hollyspan_entry.once import Answer
from hollyspan_entry.once import OnceRecord


def build(answer=None):
    return OnceRecord(
        digest="d",
        upstream="engine-1",
        stream="s",
        instance="a-1",
        incarnation=7,
        answer=answer,
    )


def test_started_record():
    record = OnceRecord.decode(build().encode())
    assert (record.upstream, record.stream) == ("engine-1", "s")
    assert record.answer is None


@given(st.binary(max_size=200), st.integers(200, 599))
def test_answer_keeps_its_bytes(body, status):
    answer = Answer(status=status, content_type="text/plain", body=body)
    decoded = OnceRecord.decode(build(answer).encode()).answer
    assert (decoded.status, decoded.body) == (status, body)


@given(st.binary(max_size=80))
def test_any_bytes_give_a_typed_error(content):
    with pytest.raises(OutcomeUnknownError):
        OnceRecord.decode(content)


@given(st.integers(0, 200))
def test_truncated_records_give_a_typed_error_or_the_answer(length):
    answer = Answer(status=200, content_type="a/b", body=b"whole" * 20)
    content = build(answer).encode()
    try:
        record = OnceRecord.decode(content[:length])
    except OutcomeUnknownError:
        return
    assert record.answer.body == b"whole" * 20
