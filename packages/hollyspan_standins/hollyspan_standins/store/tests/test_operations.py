"""Tests of range, put and transaction operations."""

import base64

import pytest
from twisted.internet.task import Clock

from hollyspan_standins.common import AnswerError
from hollyspan_standins.store import StoreServer


def encode(data):
    return base64.b64encode(data).decode()


def create(key, value):
    return {
        "compare": [
            {
                "key": encode(key),
                "target": "CREATE",
                "result": "EQUAL",
                "create_revision": "0",
            }
        ],
        "success": [
            {"request_put": {"key": encode(key), "value": encode(value)}}
        ],
        "failure": [{"request_range": {"key": encode(key)}}],
    }


@pytest.fixture
def operations():
    return StoreServer(clock=Clock()).operations


def test_create_if_absent_succeeds_once(operations):
    assert operations.run_transaction(create(b"a", b"1"))["succeeded"]
    answer = operations.run_transaction(create(b"a", b"2"))
    assert "succeeded" not in answer
    found = answer["responses"][0]["response_range"]["kvs"][0]
    assert found["value"] == encode(b"1")


def test_compare_and_swap_by_revision(operations):
    operations.run_transaction(create(b"a", b"1"))
    swap = create(b"a", b"2")
    swap["compare"] = [
        {"key": encode(b"a"), "target": "MOD", "mod_revision": "2"}
    ]
    assert operations.run_transaction(swap)["succeeded"]
    assert "succeeded" not in operations.run_transaction(swap)


def test_delete_in_a_transaction(operations):
    operations.run_transaction(create(b"a", b"1"))
    delete = {
        "compare": [
            {"key": encode(b"a"), "target": "VERSION", "version": "1"}
        ],
        "success": [{"request_delete_range": {"key": encode(b"a")}}],
    }
    answer = operations.run_transaction(delete)
    deleted = answer["responses"][0]["response_delete_range"]["deleted"]
    assert deleted == "1"
    assert "kvs" not in operations.read_range({"key": encode(b"a")})


def test_limited_range_reports_more(operations):
    for key in (b"a1", b"a2", b"a3", b"b"):
        operations.run_transaction(create(key, b"x"))
    query = {
        "key": encode(b"a"),
        "range_end": encode(b"b"),
        "limit": "2",
        "keys_only": True,
    }
    answer = operations.read_range(query)
    assert [kv["key"] for kv in answer["kvs"]] == [
        encode(b"a1"),
        encode(b"a2"),
    ]
    assert answer["more"]
    assert answer["count"] == "3"
    assert not any("value" in kv for kv in answer["kvs"])


def test_count_only_returns_no_entries(operations):
    operations.run_transaction(create(b"a", b"1"))
    query = {"key": encode(b"a"), "count_only": True}
    answer = operations.read_range(query)
    assert answer["count"] == "1"
    assert "kvs" not in answer


@pytest.mark.parametrize(
    "fields",
    [
        {"value": encode(bytes(1024 * 1024 + 1))},
        {"lease": "17"},
        {"key": ""},
        {"key": "not base64"},
    ],
)
def test_transaction_with_rejected_put_has_no_effect(operations, fields):
    transaction = create(b"a", b"1")
    transaction["success"].append(
        {"request_put": {"key": encode(b"b"), "value": "", **fields}}
    )
    with pytest.raises(AnswerError):
        operations.run_transaction(transaction)
    assert operations.keyspace.revision == 1


def test_value_of_maximum_size_is_accepted(operations):
    value = bytes(1024 * 1024)
    assert operations.run_transaction(create(b"a", value))["succeeded"]
