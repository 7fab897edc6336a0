"""Gateways that catch up with what a peer knows."""

import eliot
import pytest

from hollyspan_gateway.peers import encode_copy
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
def seen(gateway):
    """Collects the keys after each change of the list of upstreams."""
    keys = []
    gateway.upstreams_mirror.on_change = lambda mirror: keys.append(
        sorted(mirror.entries)
    )
    return keys


def test_a_deaf_watch_is_replaced_by_a_read(
    gateway, peer, reactor, wire, seen
):
    wire.change({"upstreams/a": VALUE})
    gateway.upstreams_mirror.start()
    wire.waiting, deaf = [], wire.waiting
    wire.change({"upstreams/b": VALUE})
    gateway.refresh.compare(peer, build_message(upstreams=wire.revision))
    reactor.advance(0.4)
    assert seen[-1] == ["upstreams/a", "upstreams/b"]
    gateway.upstreams_mirror.stop()
    assert deaf


def test_a_watch_that_brings_it_in_time_is_left_alone(
    gateway, peer, reactor, wire, seen
):
    gateway.upstreams_mirror.start()
    gateway.refresh.compare(peer, build_message(upstreams=wire.revision + 1))
    wire.change({"upstreams/b": VALUE})
    calls = wire.calls.count("read_page")
    reactor.advance(0.4)
    assert wire.calls.count("read_page") == calls
    gateway.upstreams_mirror.stop()


def test_a_gateway_that_the_store_turns_away_asks_the_peer(
    gateway, build_gateway, peer, wire, seen, run, store
):
    other = build_gateway(name="g2")
    wire.change({"upstreams/a": VALUE})
    other.upstreams_mirror.take_over(run(store.list("upstreams/")))
    gateway.upstreams_mirror.is_connected = False
    gateway.refresh.compare(peer, build_message(upstreams=wire.revision))
    request = gateway.pool.last
    assert request.address == ("10.0.0.7", 4)
    request.answer(200, body=encode_copy(other.upstreams_mirror))
    assert seen == [["upstreams/a"]]
    assert gateway.upstreams_mirror.revision == wire.revision


@pytest.mark.parametrize("body", [b"", b"{}", b"[]", b"\xff"])
def test_an_answer_that_is_no_copy_changes_nothing(
    gateway, peer, seen, body, monkeypatch
):
    defects = []
    monkeypatch.setattr(eliot, "write_failure", defects.append)
    gateway.upstreams_mirror.is_connected = False
    gateway.refresh.compare(peer, build_message(upstreams=9))
    gateway.pool.last.answer(200, body=body)
    assert seen == []
    assert defects == []


def test_word_of_newer_entries_is_followed_once_in_a_while(
    gateway, peer, reactor
):
    gateway.upstreams_mirror.is_connected = False
    for _ in range(20):
        gateway.refresh.compare(peer, build_message(upstreams=9))
        reactor.advance(0.1)
    assert len(gateway.pool.sent) <= 3
