"""Tests of the store over HTTP."""

import base64
import json
import urllib.request

import pytest

from hollyspan_standins.deployment import CallError
from hollyspan_standins.deployment import fetch_json
from hollyspan_standins.deployment import post_json


def encode(data):
    return base64.b64encode(data).decode()


def put(store, key, value=b"x", **fields):
    document = {"key": encode(key), "value": encode(value), **fields}
    return post_json(f"{store.url}/v3/kv/put", document)


def list_keys(store):
    document = {"key": encode(b"\0"), "range_end": encode(b"\0")}
    answer = post_json(f"{store.url}/v3/kv/range", document)
    return [base64.b64decode(kv["key"]) for kv in answer.get("kvs", [])]


def open_watch(store, **fields):
    create = {"key": encode(b"a"), "range_end": encode(b"b"), **fields}
    body = json.dumps({"create_request": create}).encode()
    request = urllib.request.Request(f"{store.url}/v3/watch", body)
    answer = urllib.request.urlopen(request, timeout=10)
    assert read_result(answer)["created"]
    return answer


def read_result(answer):
    return json.loads(answer.readline())["result"]


@pytest.fixture
def store(start_standin):
    return start_standin("store")


def control(store, **fields):
    return post_json(f"{store.url}/control", fields)


def test_watch_sends_past_and_new_events(store):
    put(store, b"a1")
    with open_watch(store, start_revision="1") as answer:
        event = read_result(answer)["events"][0]
        assert event["kv"]["key"] == encode(b"a1")
        assert "type" not in event
        document = {"key": encode(b"a1")}
        post_json(f"{store.url}/v3/kv/deleterange", document)
        event = read_result(answer)["events"][0]
        assert event["type"] == "DELETE"


def test_watch_without_start_revision_sends_only_new_events(store):
    put(store, b"a1")
    with open_watch(store) as answer:
        put(store, b"b1")
        put(store, b"a2")
        event = read_result(answer)["events"][0]
        assert event["kv"]["key"] == encode(b"a2")


def test_silent_watch_catches_up(store):
    with open_watch(store) as answer:
        control(store, silent_watches=True)
        put(store, b"a1")
        put(store, b"a2")
        control(store, silent_watches=False)
        events = read_result(answer)["events"]
        assert [event["kv"]["key"] for event in events] == [
            encode(b"a1"),
            encode(b"a2"),
        ]


def test_lost_reply_keeps_the_write(store):
    control(store, lose_replies=1, lose_matching="a")
    put(store, b"b1")
    with pytest.raises(CallError):
        put(store, b"a1")
    put(store, b"a2")
    assert list_keys(store) == [b"a1", b"a2", b"b1"]


def test_revoked_lease_deletes_its_keys(store):
    grant = post_json(f"{store.url}/v3/lease/grant", {"TTL": "60"})
    put(store, b"a1", lease=grant["ID"])
    put(store, b"a2")
    lease = {"ID": grant["ID"]}
    alive = post_json(f"{store.url}/v3/lease/keepalive", lease)
    assert alive["result"]["TTL"] == "60"
    post_json(f"{store.url}/v3/lease/revoke", lease)
    assert list_keys(store) == [b"a2"]
    ended = post_json(f"{store.url}/v3/lease/keepalive", lease)
    assert "TTL" not in ended["result"]


def test_outage_closes_watches_and_rejects_calls(store):
    with open_watch(store) as answer:
        control(store, outage=True)
        with pytest.raises(ConnectionError):
            answer.readline()
    with pytest.raises(CallError):
        put(store, b"a1")
    control(store, outage=False)
    assert list_keys(store) == []


def test_calls_are_counted_by_kind(store):
    put(store, b"a1")
    list_keys(store)
    with open_watch(store):
        counts = fetch_json(f"{store.url}/control/calls")
    assert counts["put"] == 1
    assert counts["range"] == 1
    assert counts["watch_open"] == 1
    assert counts["watch_waiting"] == 1
    assert counts["received_bytes"] > 0
