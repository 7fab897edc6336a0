"""Tests of the acceptance of configurations."""

import json

import pytest
from twisted.internet import defer

from hollyspan_core.errors import ConfigurationConflictError
from hollyspan_core.errors import ConfigurationInvalidError
from hollyspan_core.errors import StoreConflictError
from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_entry.configurations import CURRENT_KEY
from hollyspan_entry.configurations import name_history_key
from hollyspan_entry.operators.acceptance import accept_configuration
from hollyspan_entry.store import Entry
from hollyspan_standins.deployment import build_configuration


class MemoryStore:
    """A store in memory; `interfere` runs once after a lost reply."""

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.interfere = None
        self.lost_history = False

    def put(self, key, content):
        """Put a value without a comparison."""
        self.revision += 1
        self.entries[key] = Entry(
            key=key,
            content=content,
            token=b"",
            revision=self.revision,
            lease=0,
        )

    async def get(self, key):
        """Return an entry or None."""
        return self.entries.get(key)

    async def create(self, key, content):
        """Create a key that is absent."""
        if self.lost_history and key != CURRENT_KEY:
            raise StoreUnavailableError("out of reach")
        if key in self.entries:
            raise StoreKeyExistsError("exists", entry=self.entries[key])
        self.put(key, content)

    async def replace(self, key, content, *, revision):
        """Replace a value that has not changed."""
        if self.entries[key].revision != revision:
            raise StoreConflictError("changed", entry=self.entries[key])
        self.put(key, content)
        if self.interfere is not None:
            interfere, self.interfere = self.interfere, None
            await interfere()
            raise StoreConflictError(
                "changed", entry=self.entries[key], ambiguous=True
            )


@pytest.fixture(name="store")
def make_store():
    """Return a store that holds generation 1."""
    store = MemoryStore()
    store.put(CURRENT_KEY, json.dumps(build(1)).encode())
    return store


def build(generation):
    document = build_configuration(model="m", services=[], slots=8)
    return {**document, "generation": generation}


def run(coroutine):
    results = []
    failures = []
    work = defer.ensureDeferred(coroutine)
    work.addCallbacks(results.append, failures.append)
    if failures:
        failures[0].raiseException()
    return results[0]


def list_kept(store):
    return [
        generation
        for generation in range(1, 5)
        if name_history_key(generation) in store.entries
    ]


def test_an_accepted_document_is_raised_and_kept(store):
    accepted = run(accept_configuration(store, build(1)))
    assert accepted.generation == 2
    assert list_kept(store) == [1, 2]


def test_the_first_document_is_based_on_none():
    accepted = run(accept_configuration(MemoryStore(), build(0)))
    assert accepted.generation == 1


def test_a_loser_is_told_the_winner(store):
    run(accept_configuration(store, build(1)))
    with pytest.raises(ConfigurationConflictError, match="generation 2 is"):
        run(accept_configuration(store, build(1)))


def test_a_lost_reply_before_the_next_writer_is_resolved(store):
    async def accept_another():
        await accept_configuration(store, build(2))

    store.interfere = accept_another
    accepted = run(accept_configuration(store, build(1)))
    assert accepted.generation == 2
    assert list_kept(store) == [1, 2, 3]


def test_a_lost_reply_of_a_write_without_effect_is_a_conflict(store):
    async def overwrite():
        document = build(2)
        document["objectives"] = []
        content = json.dumps(document).encode()
        store.put(name_history_key(2), content)
        store.put(CURRENT_KEY, json.dumps(build(3)).encode())

    store.interfere = overwrite
    with pytest.raises(ConfigurationConflictError, match="generation 3 is"):
        run(accept_configuration(store, build(1)))


def test_the_next_writer_adds_a_missing_history(store):
    run(accept_configuration(store, build(1)))
    del store.entries[name_history_key(2)]
    run(accept_configuration(store, build(2)))
    assert list_kept(store) == [1, 2, 3]


@pytest.mark.parametrize("generation", [None, "1", -1, True])
def test_a_wrong_generation_is_a_fault(store, generation):
    with pytest.raises(ConfigurationInvalidError):
        run(accept_configuration(store, build(generation)))
