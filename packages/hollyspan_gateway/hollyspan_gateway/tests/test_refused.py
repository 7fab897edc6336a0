"""Tests of documents that are refused, beside others that are taken."""

import types

import pytest

from hollyspan_core.errors import ConfigurationInvalidError
from hollyspan_core.errors import DocumentInvalidError
from hollyspan_core.store import Entry
from hollyspan_gateway import refused as module
from hollyspan_gateway.refused import RefusedDocuments
from hollyspan_standins.memory import build_entry
from hollyspan_standins.memory import build_table


@pytest.fixture
def lines(monkeypatch):
    """Return the log lines on refused documents."""
    written = []
    monkeypatch.setattr(
        module.eliot,
        "log_message",
        lambda message, **fields: (
            written.append(fields) if message == "document:refused" else None
        ),
    )
    return written


def build_stored(name, *, revision):
    return Entry(
        key=f"upstreams/{name}",
        content=b"",
        token=b"",
        revision=revision,
        lease=0,
    )


def build_mirror(*entries):
    return types.SimpleNamespace(
        entries={entry.key: entry for entry in entries},
        reconnected_at=None,
        is_connected=True,
        change_age=0.0,
    )


def decode(entry):
    name = entry.key.rpartition("/")[2]
    if name.startswith("odd"):
        raise DocumentInvalidError("a field is missing")
    return build_entry(name)


# Failure: an entry without fields was served, and its refusal not counted.
def test_a_refused_entry_is_counted_once_and_the_others_are_served(
    gateway, lines
):
    gateway.dialect = types.SimpleNamespace(decode_upstream=decode)
    odd = build_stored("odd", revision=3)
    for mirror in (
        build_mirror(odd, build_stored("u", revision=2)),
        build_mirror(odd, build_stored("u", revision=5)),
    ):
        gateway.apply_upstreams(mirror)
        assert "u" in gateway.directory.upstreams
        assert "odd" not in gateway.directory.upstreams
    assert gateway.refused.counts == {"upstream": 1}
    assert [line["name"] for line in lines] == ["upstreams/odd"]
    newer = build_mirror(build_stored("odd", revision=9))
    gateway.apply_upstreams(newer)
    assert gateway.refused.counts == {"upstream": 2}


def test_lines_on_refused_documents_are_few_and_count_all(reactor, lines):
    refused = RefusedDocuments(clock=reactor.seconds)
    for number in range(50):
        refused.note("upstream", name=f"n{number}", reason="x" * 1000)
    refused.note("job", name="j", reason="x")
    reactor.advance(module.LOG_INTERVAL_S)
    refused.note("upstream", name="last", reason="x")
    assert [(line["kind"], line["count"]) for line in lines] == [
        ("upstream", 1),
        ("job", 1),
        ("upstream", 50),
    ]
    assert len(lines[0]["reason"]) < 1000
    assert refused.counts == {"upstream": 51, "job": 1}


def test_entries_that_are_gone_are_forgotten(reactor, lines):
    refused = RefusedDocuments(clock=reactor.seconds)
    refused.update("upstream", {f"k{n}": (n, "x") for n in range(100)})
    refused.update("upstream", {"k1": (1, "x")})
    assert refused.revisions == {"upstream": {"k1": 1}}
    assert refused.counts == {"upstream": 100}


# Failure: an order that could not be read was logged at each change.
def test_configurations_and_orders_are_refused_one_by_one(gateway, lines):
    in_force = gateway.routes

    def decode_configuration(entry):
        if entry.key.endswith("bad"):
            raise ConfigurationInvalidError("it cannot be read")
        if entry.key.endswith("cut"):
            return build_table([], revision=9, is_complete=False)
        return None

    def decode_retirement(entry):
        raise DocumentInvalidError("no order")

    gateway.dialect = types.SimpleNamespace(
        decode_configuration=decode_configuration,
        decode_retirement=decode_retirement,
    )
    mirror = build_mirror(
        build_stored("bad", revision=3), build_stored("order", revision=4)
    )
    for _ in range(3):
        gateway.apply_configuration(mirror)
    assert gateway.refused.counts == {"configuration": 1, "retirement": 1}
    assert gateway.routes is in_force
    gateway.apply_configuration(build_mirror(build_stored("cut", revision=9)))
    assert gateway.refused.counts["routes"] == 1
    assert gateway.routes is not in_force
