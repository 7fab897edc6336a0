"""Tests of the decoding of answers of a daemon."""

import json

import pytest

from hollyspan_operator.client.operator_client import decode_answer
from hollyspan_operator.errors import DaemonAnswerError


def test_an_answer_is_decoded():
    assert decode_answer(200, b'{"generation": 2}') == {"generation": 2}


@pytest.mark.parametrize(
    ("status", "content", "exit_code", "code"),
    [
        (409, {"error": {"code": "configuration_conflict"}}, 4, "conflict"),
        (503, {"error": {"code": "store_unavailable"}}, 5, "unavailable"),
        (401, {"error": {"code": "invalid_api_key"}}, 3, "key"),
        (500, {}, 3, "refused"),
        (404, [], 3, "refused"),
    ],
)
def test_an_error_answer_has_code_and_exit_code(
    status, content, exit_code, code
):
    with pytest.raises(DaemonAnswerError) as caught:
        decode_answer(status, json.dumps(content).encode())
    assert caught.value.exit_code == exit_code
    assert code in caught.value.code


def test_an_error_answer_without_json_raises_a_daemon_answer_error():
    with pytest.raises(DaemonAnswerError):
        decode_answer(502, b"<html>")
