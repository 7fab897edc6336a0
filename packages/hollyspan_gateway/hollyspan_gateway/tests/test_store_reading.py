"""Tests of a large fleet in which few gateways watch the store."""

import pytest

from hollyspan_gateway.peers import encode_snapshot
from hollyspan_gateway.peers import FleetMessage
from hollyspan_policy.hashing import hash_parts

VALUE = bytes(16)
FLEET = 40


@pytest.fixture
def front(build_gateway):
    return build_gateway(name="front", runs_batch=False)


def hear(gateway, *, number, runs_batch=False, **state):
    """Let a gateway receive a full message of a peer of its region."""
    name = f"p{number}"
    gateway.peers.add({name: (f"10.0.1.{number}", 3)})
    peer = gateway.peers.peers[hash_parts(name)]
    message = FleetMessage(
        sender=peer.key,
        incarnation=1,
        sequence=peer.sequence + 1,
        is_full=True,
        loads=[],
        runs_batch=runs_batch,
        reaches_store=True,
        region=gateway.peers.region,
        heartbeat_seconds=1.0,
        **state,
    )
    change = peer.apply(message, now=gateway.reactor.seconds())
    gateway.apply_message(peer, message, change)
    return peer


def join_fleet(gateway, *, workers):
    for number in range(1, FLEET + 1):
        hear(gateway, number=number, runs_batch=number <= workers)


def count_watches(wire):
    return wire.calls.count("watch")


def test_a_front_of_a_large_fleet_does_not_watch(front, wire, reactor):
    join_fleet(front, workers=3)
    wire.change({"upstreams/a": VALUE})
    front.upstreams_mirror.start()
    for number in range(20):
        wire.change({f"upstreams/{number}": VALUE})
        reactor.advance(0.1)
    assert count_watches(wire) == 0
    front.upstreams_mirror.stop()


def test_a_front_of_a_small_fleet_watches(front, wire):
    wire.change({"upstreams/a": VALUE})
    front.upstreams_mirror.start()
    assert count_watches(wire) == 1
    front.upstreams_mirror.stop()


def test_a_front_watches_once_it_hears_nobody(front, wire, reactor):
    join_fleet(front, workers=3)
    wire.change({"upstreams/a": VALUE})
    front.upstreams_mirror.start()
    reactor.pump([0.5] * 10)
    assert count_watches(wire) == 1
    wire.change({"upstreams/b": VALUE})
    assert "upstreams/b" in front.upstreams_mirror.entries
    front.upstreams_mirror.stop()


def test_a_front_fetches_what_a_reader_announces(
    front, build_gateway, wire, reactor
):
    reader = build_gateway(name="reader")
    wire.change({"upstreams/a": VALUE, "upstreams/b": VALUE})
    reader.upstreams_mirror.start()
    join_fleet(front, workers=3)
    front.upstreams_mirror.start()
    # The removal of an entry is a change that no entry's revision shows.
    wire.change({}, ["upstreams/b"])
    assert list(reader.upstreams_mirror.entries) == ["upstreams/a"]
    state = reader.describe()
    peer = hear(front, number=1, runs_batch=True, upstreams=state["upstreams"])
    request = front.pool.last
    assert request.address[0] == peer.address[0]
    request.answer(200, body=encode_snapshot(reader.upstreams_mirror))
    assert list(front.upstreams_mirror.entries) == ["upstreams/a"]
    # The same news from another reader is not fetched again.
    hear(front, number=2, runs_batch=True, upstreams=state["upstreams"])
    reactor.advance(1.0)
    assert len(front.pool.sent) == 1
    for gateway in (front, reader):
        gateway.upstreams_mirror.stop()


def test_news_during_a_fetch_is_fetched_soon_after(front, wire, reactor):
    join_fleet(front, workers=3)
    wire.change({"upstreams/a": VALUE})
    front.upstreams_mirror.start()
    hear(front, number=1, runs_batch=True, upstreams=wire.revision + 1)
    assert len(front.pool.sent) == 1
    hear(front, number=2, runs_batch=True, upstreams=wire.revision + 2)
    reactor.advance(1.0)
    assert len(front.pool.sent) == 2
    front.upstreams_mirror.stop()


def test_a_reader_announces_changes_to_its_region_at_once(build_gateway, wire):
    reader = build_gateway(name="reader")
    join_fleet(reader, workers=3)
    sent = []
    reader.peers.send_full = lambda peers: sent.append(len(peers))
    wire.change({"upstreams/a": VALUE})
    reader.upstreams_mirror.start()
    wire.change({"upstreams/b": VALUE})
    assert sent == [FLEET]
    reader.upstreams_mirror.stop()


def test_an_entry_that_is_missing_after_an_outage_is_kept_for_a_while(
    front, build_gateway, wire, reactor
):
    reader = build_gateway(name="reader")
    join_fleet(front, workers=3)
    wire.change({f"upstreams/{name}": VALUE for name in "abc"})
    for gateway in (front, reader):
        gateway.directory.upstreams.clear()
        gateway.upstreams_mirror.start()
        gateway.upstreams_mirror.reconnected_at = reactor.seconds() - 60.0
    # The reader notices an outage in which one entry expires.
    wire.is_down = True
    wire.wake_all()
    wire.change({}, ["upstreams/c"])
    reactor.advance(0.4)
    wire.is_down = False
    join_fleet(front, workers=3)
    reactor.advance(0.8)
    join_fleet(front, workers=3)
    hear(
        front,
        number=1,
        runs_batch=True,
        upstreams=reader.describe()["upstreams"],
    )
    front.pool.last.answer(200, body=encode_snapshot(reader.upstreams_mirror))
    assert len(front.directory.list_usable("m")) == 3
    reactor.advance(2.5)
    assert len(front.directory.list_usable("m")) == 2
    for gateway in (front, reader):
        gateway.upstreams_mirror.stop()
