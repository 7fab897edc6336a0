"""Tests of the validation and storage of configurations."""

import json

import pytest
from twisted.internet import defer

from hollyspan_core.errors import ConfigurationConflictError
from hollyspan_core.errors import ConfigurationInvalidError
from hollyspan_core.errors import StoreConflictError
from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_entry.configurations import build_history_key
from hollyspan_entry.configurations import CURRENT_KEY
from hollyspan_entry.operators.acceptance import accept_configuration
from hollyspan_entry.store import Entry
from hollyspan_standins.deployment import build_configuration


class MemoryStore:
    """In-memory store that can lose replies or reject history writes.

    After the next replacement, `on_lost_reply` is called once and an
    ambiguous conflict is raised.
    """

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.on_lost_reply = None
        self.history_unavailable = False

    def put(self, key, content):
        """Write a value unconditionally."""
        self.revision += 1
        self.entries[key] = Entry(
            key=key,
            content=content,
            token=b"",
            revision=self.revision,
            lease=0,
        )

    async def get(self, key):
        """Return an entry, or None if the key is absent."""
        return self.entries.get(key)

    async def create(self, key, content):
        """Create an entry if the key is absent."""
        if self.history_unavailable and key != CURRENT_KEY:
            raise StoreUnavailableError("store unreachable")
        if key in self.entries:
            raise StoreKeyExistsError("exists", entry=self.entries[key])
        self.put(key, content)

    async def replace(self, key, content, *, revision):
        """Replace a value if its revision has not changed."""
        if self.entries[key].revision != revision:
            raise StoreConflictError("changed", entry=self.entries[key])
        self.put(key, content)
        if self.on_lost_reply is not None:
            on_lost_reply, self.on_lost_reply = self.on_lost_reply, None
            await on_lost_reply()
            raise StoreConflictError(
                "changed", entry=self.entries[key], ambiguous=True
            )


@pytest.fixture(name="store")
def make_store():
    """Return a store that contains generation 1."""
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


def list_history_generations(store):
    return [
        generation
        for generation in range(1, 5)
        if build_history_key(generation) in store.entries
    ]


def test_an_accepted_document_gets_the_next_generation_and_a_history(store):
    accepted = run(accept_configuration(store, build(1)))
    assert accepted.generation == 2
    assert list_history_generations(store) == [1, 2]


def test_the_first_document_is_based_on_none():
    accepted = run(accept_configuration(MemoryStore(), build(0)))
    assert accepted.generation == 1


def test_a_conflict_names_the_accepted_generation(store):
    run(accept_configuration(store, build(1)))
    with pytest.raises(ConfigurationConflictError, match="generation 2 is"):
        run(accept_configuration(store, build(1)))


def test_a_lost_reply_before_the_next_writer_is_resolved(store):
    async def accept_another():
        await accept_configuration(store, build(2))

    store.on_lost_reply = accept_another
    accepted = run(accept_configuration(store, build(1)))
    assert accepted.generation == 2
    assert list_history_generations(store) == [1, 2, 3]


def test_a_lost_reply_of_a_write_without_effect_is_a_conflict(store):
    async def overwrite():
        document = build(2)
        document["objectives"] = []
        content = json.dumps(document).encode()
        store.put(build_history_key(2), content)
        store.put(CURRENT_KEY, json.dumps(build(3)).encode())

    store.on_lost_reply = overwrite
    with pytest.raises(ConfigurationConflictError, match="generation 3 is"):
        run(accept_configuration(store, build(1)))


def test_the_next_writer_adds_a_missing_history(store):
    run(accept_configuration(store, build(1)))
    del store.entries[build_history_key(2)]
    run(accept_configuration(store, build(2)))
    assert list_history_generations(store) == [1, 2, 3]


@pytest.mark.parametrize("generation", [None, "1", -1, True])
def test_an_invalid_generation_is_refused(store, generation):
    with pytest.raises(ConfigurationInvalidError):
        run(accept_configuration(store, build(generation)))
