import json

from hypothesis import given
from hypothesis import strategies as st

from hollyspan_core.errors import UpstreamAnswerError
from hollyspan_entry.online.translation import build_error_answer
from hollyspan_entry.online.translation import translate_error


def test_client_error_is_passed_on():
    body = b'{"error": {"message": "too long", "code": "too_long"}}'
    error = UpstreamAnswerError("m", upstream_status=400, body=body)
    translated = translate_error(error)
    assert (translated.status, translated.code) == (400, "too_long")
    assert translated.message == "too long"


def test_server_error_is_answered_with_bad_gateway():
    error = UpstreamAnswerError("m", upstream_status=500, body=b"{}")
    assert translate_error(error).status == 502


@given(st.binary(max_size=50), st.integers(100, 599))
def test_any_body_gives_an_answer(body, status):
    error = UpstreamAnswerError("m", upstream_status=status, body=body)
    answer = build_error_answer(error)
    assert json.loads(answer.body)["error"]["outcome"] == "unknown"
