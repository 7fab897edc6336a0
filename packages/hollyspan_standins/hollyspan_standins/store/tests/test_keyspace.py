"""Tests of the keyspace."""

from hypothesis import given
from hypothesis import strategies

from hollyspan_standins.store import keyspace as module
from hollyspan_standins.store.keyspace import is_in_range
from hollyspan_standins.store.keyspace import Keyspace

KEYS = strategies.sampled_from([b"a", b"ab", b"b", b"b/1", b"c"])


def test_revisions_of_a_key():
    keys = Keyspace()
    keys.put(b"a", b"1", 0)
    keys.put(b"b", b"1", 0)
    keys.put(b"a", b"2", 0)
    entry = keys.get(b"a")
    assert entry.create_revision == 2
    assert entry.mod_revision == 4
    assert entry.version == 2


def test_key_recreated_after_delete_starts_at_version_one():
    keys = Keyspace()
    keys.put(b"a", b"1", 0)
    keys.delete([b"a"])
    keys.put(b"a", b"2", 0)
    assert keys.get(b"a").create_revision == 4
    assert keys.get(b"a").version == 1


def test_deleting_absent_keys_creates_no_revision():
    keys = Keyspace()
    assert keys.delete([b"a"]) == []
    assert keys.revision == 1


def test_events_since_a_revision():
    keys = Keyspace()
    keys.put(b"a", b"1", 0)
    keys.put(b"b", b"1", 0)
    keys.delete([b"a"])
    events = keys.list_events(3, b"a", b"c")
    assert [(e.is_delete, e.entry.key) for e in events] == [
        (False, b"b"),
        (True, b"a"),
    ]


def test_history_is_bounded(monkeypatch):
    monkeypatch.setattr(module, "MAX_HISTORY_EVENTS", 3)
    keys = Keyspace()
    for number in range(10):
        keys.put(b"a", b"%d" % number, 0)
    assert len(keys.history) == 3
    assert keys.compacted_revision == 8


@given(
    strategies.lists(strategies.tuples(strategies.booleans(), KEYS)),
    KEYS,
    strategies.sampled_from([b"", b"\0", b"b", b"c", b"d"]),
)
def test_replayed_events_match_ranges(changes, first, end):
    keys = Keyspace()
    for is_put, key in changes:
        if is_put:
            keys.put(key, b"x", 0)
        else:
            keys.delete([key])
    replayed = {}
    for event in keys.list_events(0, first, end):
        if event.is_delete:
            del replayed[event.entry.key]
        else:
            replayed[event.entry.key] = event.entry
    listed = keys.list_range(first, end)
    assert listed == [replayed[key] for key in sorted(replayed)]
    assert all(is_in_range(entry.key, first, end) for entry in listed)
