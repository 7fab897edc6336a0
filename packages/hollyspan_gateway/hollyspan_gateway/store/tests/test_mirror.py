"""A local copy through outages, cuts and lost history."""

import pytest

from hollyspan_core.store import Page
from hollyspan_gateway.store import Mirror

VALUE = bytes(16)
# Time by which a change may come later, so that others come with it.
GATHER_S = 0.4


@pytest.fixture
def mirror(store, reactor, wire):
    wire.change({"p/a": VALUE})
    seen = []
    mirror = Mirror(
        store=store,
        reactor=reactor,
        prefix="p/",
        on_change=lambda changed: seen.append(sorted(changed.entries)),
    )
    mirror.seen = seen
    mirror.start()
    yield mirror
    mirror.stop()


def test_changes_arrive_by_watching(mirror, wire, reactor):
    wire.change({"p/b": VALUE})
    wire.change({}, ["p/a"])
    reactor.advance(GATHER_S)
    assert mirror.seen == [["p/a"], ["p/a", "p/b"], ["p/b"]]
    assert mirror.revision == wire.revision


def test_changes_in_quick_succession_come_together(mirror, wire, reactor):
    """Many upstreams register at the same time."""
    wire.change({"p/0": VALUE})
    assert mirror.seen[-1] == ["p/0", "p/a"]
    for number in range(1, 30):
        wire.change({f"p/{number}": VALUE})
    assert len(mirror.seen) == 2
    reactor.advance(GATHER_S)
    assert len(mirror.seen) == 3
    assert len(mirror.entries) == 31


def test_a_fleet_that_registers_for_seconds(mirror, wire, reactor):
    """Sixty upstreams in three seconds, then a single change."""
    seen = len(mirror.seen)
    for number in range(60):
        wire.change({f"p/{number}": VALUE})
        reactor.advance(0.05)
    reactor.pump([0.05] * 20)
    assert len(mirror.entries) == 61
    assert len(mirror.seen) - seen <= 12
    wire.change({"p/last": VALUE})
    assert "p/last" in mirror.entries


def test_lost_history_is_made_up_by_a_read(mirror, wire, reactor):
    events, wire.events = wire.events, []
    wire.change({}, ["p/a"])
    wire.change({"p/c": VALUE})
    wire.events = events
    wire.kept_after = wire.revision
    wire.wake_all()
    reactor.advance(GATHER_S)
    assert mirror.seen[-1] == ["p/c"]


def test_an_outage_ends_with_what_has_changed(mirror, wire, reactor):
    wire.is_down = True
    wire.wake_all()
    assert not mirror.is_connected
    wire.change({"p/b": VALUE})
    reactor.advance(1.0)
    assert mirror.seen[-1] == ["p/a"]
    wire.is_down = False
    reactor.advance(1.0)
    assert mirror.seen[-1] == ["p/a", "p/b"]
    assert mirror.is_connected
    assert mirror.regained == reactor.seconds()


def test_the_return_of_a_store_without_changes_is_noticed(
    mirror, wire, reactor
):
    """Items are run only while the list of upstreams is known to be fresh."""
    wire.is_down = True
    wire.wake_all()
    reactor.advance(0.3)
    assert not mirror.is_connected
    wire.is_down = False
    reactor.pump([0.1] * 20)
    assert mirror.is_connected


def test_a_deaf_watch_is_left_when_a_peer_knows_more(mirror, wire):
    wire.waiting, deaf = [], wire.waiting
    wire.change({"p/b": VALUE})
    assert mirror.seen[-1] == ["p/a"]
    mirror.refresh()
    assert mirror.seen[-1] == ["p/a", "p/b"]
    assert deaf


def test_an_older_copy_of_a_peer_is_not_taken(mirror):
    older = Page(entries=[], more=False, revision=mirror.revision)
    assert not mirror.take_over(older)
    newer = Page(entries=[], more=False, revision=mirror.revision + 1)
    assert mirror.take_over(newer)
    assert mirror.seen[-1] == []
