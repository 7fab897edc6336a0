"""Tests of writes whose replies are lost, and of reads in pages."""

import pytest
from twisted.internet import defer

from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.errors import StoreReplyLostError
from hollyspan_core.errors import StoreUnavailableError


def collect(work):
    outcomes = []
    defer.ensureDeferred(work).addBoth(outcomes.append)
    return outcomes


def test_write_with_a_lost_reply_is_recognised(store, wire, reactor):
    wire.replies_to_lose = 1
    outcomes = collect(store.create({"k": b"v"}))
    reactor.advance(1.0)
    assert outcomes == [0]
    assert wire.entries["k"].content == b"v"


def test_lost_write_is_sent_again(store, wire, reactor):
    wire.writes_to_lose = 1
    outcomes = collect(store.create({"k": b"v"}))
    reactor.advance(1.0)
    assert outcomes[0] > 0


def test_existing_key_is_not_overwritten(store, wire, run):
    run(store.create({"k": b"one"}))
    with pytest.raises(StoreKeyExistsError) as caught:
        run(store.create({"k": b"two"}))
    assert caught.value.entry.content == b"one"


def test_keys_are_created_atomically(store, wire, run):
    run(store.create({"b": b"x"}))
    with pytest.raises(StoreKeyExistsError):
        run(store.create({"a": b"1", "b": b"2"}))
    assert "a" not in wire.entries


def test_outage_after_a_lost_reply_leaves_the_outcome_unknown(
    store, wire, reactor
):
    wire.replies_to_lose = 1
    outcomes = collect(store.create({"k": b"v"}))
    wire.is_down = True
    for _ in range(10):
        reactor.advance(0.5)
    assert outcomes[0].check(StoreReplyLostError)


def test_outage_before_the_first_attempt_means_not_run(store, wire, reactor):
    wire.is_down = True
    outcomes = collect(store.create({"k": b"v"}))
    for _ in range(10):
        reactor.advance(0.5)
    assert outcomes[0].check(StoreUnavailableError)
    assert not outcomes[0].check(StoreReplyLostError)


def test_list_reflects_the_revision_of_the_first_page(store, wire, run):
    wire.page_size = 2
    wire.change({f"p/{i}": bytes(16) for i in range(4)})
    read_page = wire.read_page

    async def read_and_add(prefix, *, after, **options):
        page = await read_page(prefix, after=after)
        if after is None:
            # A key sorted within the first page and one after it.
            wire.change({"p/0a": bytes(16), "p/9": bytes(16)})
        return page

    wire.read_page = read_and_add
    page = run(store.list("p/"))
    assert [entry.key for entry in page.entries] == [
        "p/0",
        "p/1",
        "p/2",
        "p/3",
    ]
    assert page.revision == 2
