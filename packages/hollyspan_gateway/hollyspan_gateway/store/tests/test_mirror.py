"""Tests of mirrors with outages, silent watches and lost history."""

import pytest
from twisted.internet import defer

from hollyspan_core.errors import StoreAnswerTooLargeError
from hollyspan_core.store import Page
from hollyspan_gateway.store import Mirror

VALUE = bytes(16)
# By how much coalescing may delay a change.
MAX_COALESCING_DELAY_S = 0.4


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


def test_changes_are_received_by_watching(mirror, wire, reactor):
    wire.change({"p/b": VALUE})
    wire.change({}, ["p/a"])
    reactor.advance(MAX_COALESCING_DELAY_S)
    assert mirror.seen == [["p/a"], ["p/a", "p/b"], ["p/b"]]
    assert mirror.revision == wire.revision


def test_changes_in_quick_succession_are_coalesced(mirror, wire, reactor):
    """Changes are coalesced when many upstreams register at the same time."""
    wire.change({"p/0": VALUE})
    assert mirror.seen[-1] == ["p/0", "p/a"]
    for number in range(1, 30):
        wire.change({f"p/{number}": VALUE})
    assert len(mirror.seen) == 2
    reactor.advance(MAX_COALESCING_DELAY_S)
    assert len(mirror.seen) == 3
    assert len(mirror.entries) == 31


def test_registrations_over_several_seconds_are_coalesced(
    mirror, wire, reactor
):
    """Sixty upstreams register in three seconds, then one more does."""
    seen = len(mirror.seen)
    for number in range(60):
        wire.change({f"p/{number}": VALUE})
        reactor.advance(0.05)
    reactor.pump([0.05] * 20)
    assert len(mirror.entries) == 61
    assert len(mirror.seen) - seen <= 12
    wire.change({"p/last": VALUE})
    assert "p/last" in mirror.entries


def test_entries_are_listed_again_when_history_is_lost(mirror, wire, reactor):
    events, wire.events = wire.events, []
    wire.change({}, ["p/a"])
    wire.change({"p/c": VALUE})
    wire.events = events
    wire.compacted_revision = wire.revision
    wire.wake_all()
    reactor.advance(MAX_COALESCING_DELAY_S)
    assert mirror.seen[-1] == ["p/c"]


def test_changes_during_an_outage_are_read_after_it(mirror, wire, reactor):
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
    assert mirror.reconnected_at == reactor.seconds()


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


def test_silent_watch_is_cancelled_by_a_refresh(mirror, wire):
    wire.waiting, silent_watches = [], wire.waiting
    wire.change({"p/b": VALUE})
    assert mirror.seen[-1] == ["p/a"]
    mirror.refresh()
    assert mirror.seen[-1] == ["p/a", "p/b"]
    assert silent_watches


def test_older_snapshot_of_a_peer_is_ignored(mirror):
    older = Page(entries=[], has_more=False, revision=mirror.revision)
    assert not mirror.apply_snapshot(older)
    newer = Page(entries=[], has_more=False, revision=mirror.revision + 1)
    assert mirror.apply_snapshot(newer)
    assert mirror.seen[-1] == []


# Failure: entries that could not be applied once were never applied.
def test_entries_are_read_again_after_a_failure_to_apply_them(
    store, reactor, wire
):
    applied = []
    faults = [ZeroDivisionError("a fault of the test")]

    def apply(changed):
        if faults:
            raise faults.pop()
        applied.append(sorted(changed.entries))

    mirror = Mirror(store=store, reactor=reactor, prefix="p/", on_change=apply)
    wire.change({"p/a": VALUE})
    mirror.start()
    assert applied == []
    reactor.advance(1.0)
    assert applied == [["p/a"]]
    mirror.stop()


def test_the_age_of_changes_includes_the_delay_before_the_watch(
    mirror, wire, reactor
):
    reactor.advance(5.0)
    wire.change({"p/b": VALUE})
    assert mirror.change_age == 0.0
    reactor.advance(0.05)
    wire.change({"p/c": VALUE})
    reactor.pump([0.05] * 8)
    assert "p/c" in mirror.entries
    assert 0.05 <= mirror.change_age <= MAX_COALESCING_DELAY_S


def test_changes_of_a_snapshot_may_be_older(mirror, reactor):
    mirror.apply_snapshot(Page(entries=[], has_more=False, revision=99))
    assert mirror.change_age == 1.2


# Failure: changes that a watch returned late replaced newer entries, which a
# peer had sent meanwhile; a removed entry came back for good.
@pytest.mark.parametrize("later", [0, 1])
def test_late_changes_of_a_watch_do_not_replace_a_newer_snapshot(
    mirror, wire, reactor, run, store, later, monkeypatch
):
    answers = []

    async def watch_late(prefix, *, after, seconds):
        answers.append(defer.Deferred())
        return await answers[-1]

    # The mirror's own watch returns from its first call to the store.
    with monkeypatch.context() as patch:
        patch.setattr(wire, "watch", watch_late)
        wire.change({"p/b": VALUE})
        reactor.advance(MAX_COALESCING_DELAY_S)
        (answer,) = answers
    after = mirror.revision
    wire.change({"p/d": VALUE})
    page = run(wire.watch("p/", after=after, seconds=1.0))
    wire.change({}, ["p/d"])
    assert mirror.apply_snapshot(run(store.list("p/")))
    assert mirror.seen[-1] == ["p/a", "p/b"]
    for number in range(later):
        wire.change({f"p/e{number}": VALUE})
        page.revision = wire.revision
    answer.callback(page)
    reactor.advance(MAX_COALESCING_DELAY_S)
    expected = ["p/a", "p/b", *(f"p/e{number}" for number in range(later))]
    assert sorted(mirror.entries) == expected
    assert mirror.revision == wire.revision


# Failure: changes that are too many for one answer would be asked for again
# and again.
def test_entries_are_listed_after_too_many_changes(mirror, wire, reactor):
    answers = []

    async def watch(prefix, *, after, seconds):
        answers.append(after)
        raise StoreAnswerTooLargeError("kv-watch: too many changes")

    usual, wire.watch = wire.watch, watch
    wire.change({"p/b": VALUE})
    reactor.advance(MAX_COALESCING_DELAY_S)
    assert answers
    wire.watch = usual
    wire.change({"p/c": VALUE})
    wire.compacted_revision = 0
    listed = wire.calls.count("read_page")
    reactor.pump([0.1] * 20)
    assert wire.calls.count("read_page") == listed + 1
    assert sorted(mirror.entries) == ["p/a", "p/b", "p/c"]
