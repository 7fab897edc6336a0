"""Tests of the plain service."""

import json

import pytest

from hollyspan_standins.caller import Caller
from hollyspan_standins.caller import RefusedError


@pytest.fixture
def record(tmp_path):
    return tmp_path / "records.jsonl"


@pytest.fixture
def service(start_standin, record):
    return start_standin("service", "--record", str(record))


@pytest.fixture
def caller(service):
    return Caller(url=service.url, key="none")


def read_events(record):
    lines = record.read_text(encoding="utf-8").splitlines()
    records = [json.loads(line) for line in lines]
    return [(r["event"], r["path"], r["key"]) for r in records]


def test_runs_are_recorded_by_their_key(caller, record):
    headers = {"x-request-key": "online/1"}
    answer = caller.post("/announce", {"leap": 1}, **headers)
    assert json.loads(answer["announced"]) == {"leap": 1}
    assert caller.get("/status")["status"] == "on air"
    assert read_events(record) == [
        ("received", "/announce", "online/1"),
        ("finished", "/announce", "online/1"),
        ("received", "/status", None),
        ("finished", "/status", None),
    ]


def test_announce_requires_post(caller):
    with pytest.raises(RefusedError) as info:
        caller.get("/announce")
    assert info.value.status == 405


def test_leaving_service_refuses_calls(caller, record):
    caller.post("/control", {"leaving": True})
    with pytest.raises(RefusedError) as info:
        caller.post("/announce", {})
    assert info.value.status == 503
    assert read_events(record) == [("refused", "/announce", None)]
    assert caller.get("/health") == {"state": "leaving"}


def test_failing_call_is_recorded_as_run(caller, record):
    caller.post("/control", {"fail_rate": 1.0})
    with pytest.raises(RefusedError) as info:
        caller.post("/announce", {})
    assert info.value.status == 500
    events = [event for event, _, _ in read_events(record)]
    assert events == ["received", "failed"]
