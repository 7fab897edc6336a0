"""Tests of the catch-up with newer revisions at peers."""

import eliot
import pytest

from hollyspan_gateway.peers import encode_snapshot
from hollyspan_gateway.peers import FleetMessage
from hollyspan_gateway.peers import Peer

VALUE = bytes(16)


@pytest.fixture
def peer():
    return Peer(key=1, address=("10.0.0.7", 3))


def build_message(*, upstreams):
    return FleetMessage(
        sender=1,
        incarnation=1,
        sequence=1,
        is_full=True,
        loads=[],
        upstreams=upstreams,
    )


@pytest.fixture
def recorded_keys(gateway):
    """Collect the keys after each change of the list of upstreams."""
    keys = []
    gateway.upstreams_mirror.on_change = lambda mirror: keys.append(
        sorted(mirror.entries)
    )
    return keys


def test_a_silent_watch_is_replaced_by_a_read(
    gateway, peer, reactor, wire, recorded_keys
):
    wire.change({"upstreams/a": VALUE})
    gateway.upstreams_mirror.start()
    wire.waiting, lost_watches = [], wire.waiting
    wire.change({"upstreams/b": VALUE})
    gateway.refresh.compare_revisions(
        peer, build_message(upstreams=wire.revision)
    )
    reactor.advance(0.4)
    assert recorded_keys[-1] == ["upstreams/a", "upstreams/b"]
    gateway.upstreams_mirror.stop()
    assert lost_watches


# Load: a listing of all jobs costs far more than what has changed.
def test_the_changes_that_a_silent_watch_misses_are_not_listed(
    gateway, peer, reactor, wire, recorded_keys
):
    wire.change({"upstreams/a": VALUE})
    gateway.upstreams_mirror.start()
    wire.waiting = []
    wire.change({"upstreams/b": VALUE})
    start = len(wire.calls)
    gateway.refresh.compare_revisions(
        peer, build_message(upstreams=wire.revision)
    )
    reactor.advance(0.4)
    assert recorded_keys[-1] == ["upstreams/a", "upstreams/b"]
    assert "read_page" not in wire.calls[start:]
    gateway.upstreams_mirror.stop()


def test_a_silent_watch_without_history_is_replaced_by_a_listing(
    gateway, peer, reactor, wire, recorded_keys
):
    wire.change({"upstreams/a": VALUE})
    gateway.upstreams_mirror.start()
    wire.waiting = []
    wire.change({"upstreams/b": VALUE})
    wire.compacted_revision = wire.revision
    gateway.refresh.compare_revisions(
        peer, build_message(upstreams=wire.revision)
    )
    reactor.advance(0.4)
    assert recorded_keys[-1] == ["upstreams/a", "upstreams/b"]
    gateway.upstreams_mirror.stop()


def test_a_revision_that_the_watch_delivers_in_time_is_not_read(
    gateway, peer, reactor, wire, recorded_keys
):
    gateway.upstreams_mirror.start()
    gateway.refresh.compare_revisions(
        peer, build_message(upstreams=wire.revision + 1)
    )
    wire.change({"upstreams/b": VALUE})
    calls = wire.calls.count("read_page")
    reactor.advance(0.4)
    assert wire.calls.count("read_page") == calls
    gateway.upstreams_mirror.stop()


def test_a_gateway_without_the_store_reads_from_the_peer(
    gateway, build_gateway, peer, wire, recorded_keys, run, store
):
    other = build_gateway(name="g2")
    wire.change({"upstreams/a": VALUE})
    other.upstreams_mirror.apply_snapshot(run(store.list("upstreams/")))
    gateway.upstreams_mirror.is_connected = False
    gateway.refresh.compare_revisions(
        peer, build_message(upstreams=wire.revision)
    )
    request = gateway.pool.last
    assert request.address == ("10.0.0.7", 4)
    request.answer(200, body=encode_snapshot(other.upstreams_mirror))
    assert recorded_keys == [["upstreams/a"]]
    assert gateway.upstreams_mirror.revision == wire.revision


@pytest.mark.parametrize("body", [b"", b"{}", b"[]", b"\xff"])
def test_a_malformed_snapshot_changes_nothing(
    gateway, peer, recorded_keys, body, monkeypatch
):
    failures = []
    monkeypatch.setattr(eliot, "write_failure", failures.append)
    gateway.upstreams_mirror.is_connected = False
    gateway.refresh.compare_revisions(peer, build_message(upstreams=9))
    gateway.pool.last.answer(200, body=body)
    assert recorded_keys == []
    assert failures == []


def test_catch_ups_are_rate_limited(gateway, peer, reactor):
    gateway.upstreams_mirror.is_connected = False
    for _ in range(20):
        gateway.refresh.compare_revisions(peer, build_message(upstreams=9))
        reactor.advance(0.1)
    assert len(gateway.pool.sent) <= 3
