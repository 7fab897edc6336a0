"""Tests of the engine over HTTP."""

import http.client
import json
import urllib.parse

import pytest

from hollyspan_standins.caller import Caller
from hollyspan_standins.caller import RefusedError
from hollyspan_standins.caller import StreamCutError
from hollyspan_standins.engine import generate_expected_text

REQUEST = {"model": "pips-lm", "prompt": "hello", "max_tokens": 20}


@pytest.fixture
def engine(start_standin, tmp_path):
    record = tmp_path / "records.jsonl"
    process = start_standin(
        "engine", "--record", str(record), "--checks-fencing"
    )
    process.record = record
    return process


@pytest.fixture
def caller(engine):
    return Caller(url=engine.url, key="none", timeout=20)


def read_records(engine):
    lines = engine.record.read_text(encoding="utf-8").splitlines()
    return [json.loads(line) for line in lines]


def open_stream(engine, number, **request):
    netloc = urllib.parse.urlsplit(engine.url).netloc
    connection = http.client.HTTPConnection(netloc, timeout=20)
    body = json.dumps({**REQUEST, "stream": True, **request})
    headers = {
        "x-stream-id": number,
        "x-request-key": "online/1",
        "x-request-class": "online",
    }
    connection.request("POST", "/v1/completions", body, headers)
    return connection, connection.getresponse()


def test_plain_and_streamed_answers_match_the_expected_text(caller):
    expected = generate_expected_text(**REQUEST)
    answer = caller.post("/v1/completions", REQUEST)
    assert answer["choices"][0]["text"] == expected
    assert answer["usage"]["completion_tokens"] == 20
    assert "".join(caller.stream("/v1/completions", REQUEST)) == expected


def test_plain_and_streamed_chats_match_the_expected_text(caller):
    request = {
        "model": "pips-lm",
        "messages": [{"role": "user", "content": "hello"}],
    }
    expected = generate_expected_text(model="pips-lm", prompt="user:hello")
    answer = caller.post("/v1/chat/completions", request)
    assert answer["choices"][0]["message"]["content"] == expected
    pieces = caller.stream("/v1/chat/completions", request)
    assert "".join(pieces) == expected


def test_event_ids_count_from_one_and_continue_after_a_resume(engine, caller):
    connection, answer = open_stream(engine, "s/1", max_tokens=4)
    whole = answer.read().decode()
    connection.close()
    ids = [line for line in whole.splitlines() if line.startswith("id: ")]
    assert ids == [f"id: {number}" for number in range(1, 6)]
    assert whole.endswith("data: [DONE]\n\n")
    rest = caller.call("GET", "/v1/streams/s%2F1?offset=3").decode()
    assert rest == whole[whole.index("id: 4") :]


def test_cancel_ends_the_answer_without_a_last_event(engine, caller):
    connection, answer = open_stream(engine, "s1", max_tokens=5000)
    answer.readline()
    offset = caller.post("/v1/streams/s1/cancel", {})["offset"]
    rest = answer.read().decode()
    connection.close()
    assert 1 <= offset < 5000
    assert f"id: {offset}\n" in "id: 1\n" + rest
    assert "[DONE]" not in rest


def test_a_lost_connection_is_recorded(engine, caller):
    connection, answer = open_stream(engine, "s1", prompt="[[slow]]")
    answer.close()
    connection.close()
    caller.post("/v1/completions", REQUEST)
    events = [r["event"] for r in read_records(engine) if r["stream"] == "s1"]
    assert events == ["received", "admitted", "disconnected"]


def test_a_breaking_prompt_cuts_the_stream(caller):
    request = {**REQUEST, "prompt": "[[break]]"}
    with pytest.raises(StreamCutError) as info:
        list(caller.stream("/v1/completions", request))
    expected = generate_expected_text(**request)
    assert expected.startswith(info.value.text)


def test_orders_check_the_fencing_number(caller):
    order = {"kind": "load_model", "argument": "other", "fencing": 7}
    assert caller.post("/v1/orders", order)["accepted"]
    names = [model["id"] for model in caller.get("/v1/models")["data"]]
    assert names == ["pips-lm", "other"]
    with pytest.raises(RefusedError) as info:
        caller.post("/v1/orders", {**order, "fencing": 6})
    assert info.value.status == 409
    assert b"stale_fencing" in info.value.body


def test_a_leaving_engine_reports_its_state_and_refuses_starts(caller):
    assert caller.get("/health") == {"state": "serving"}
    caller.post("/control", {"leaving": True})
    assert caller.get("/health") == {"state": "leaving"}
    with pytest.raises(RefusedError) as info:
        caller.post("/v1/completions", REQUEST)
    assert info.value.status == 503


def test_records_contain_the_load_at_each_event(engine, caller):
    connection, _ = open_stream(engine, "s1", prompt="[[slow]]")
    caller.post("/v1/completions", REQUEST)
    received = [r for r in read_records(engine) if r["event"] == "received"]
    connection.close()
    assert received[0]["key"] == "online/1"
    assert received[1]["running_classes"] == {"online": 1}


@pytest.mark.parametrize(
    "change",
    [
        {"model": 3},
        {"prompt": None},
        {"max_tokens": 0},
        {"max_tokens": "many"},
    ],
)
def test_invalid_requests_are_refused(caller, change):
    with pytest.raises(RefusedError) as info:
        caller.post("/v1/completions", {**REQUEST, **change})
    assert info.value.status == 400
