"""Writes whose answers are lost or late, and reads in pages."""

import pytest
from twisted.internet import defer

from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.errors import StoreReplyLostError
from hollyspan_core.errors import StoreUnavailableError


def collect(work):
    ends = []
    defer.ensureDeferred(work).addBoth(ends.append)
    return ends


def test_a_write_whose_answer_was_lost_is_known_again(store, wire, reactor):
    wire.lose = 1
    ends = collect(store.create({"k": b"v"}))
    reactor.advance(1.0)
    assert ends == [0]
    assert wire.entries["k"].content == b"v"


def test_a_write_that_was_lost_on_its_way_is_made(store, wire, reactor):
    wire.drop = 1
    ends = collect(store.create({"k": b"v"}))
    reactor.advance(1.0)
    assert ends[0] > 0


def test_the_first_writer_of_a_key_holds_it(store, wire, run):
    run(store.create({"k": b"one"}))
    with pytest.raises(StoreKeyExistsError) as caught:
        run(store.create({"k": b"two"}))
    assert caught.value.entry.content == b"one"


def test_several_keys_are_created_together_or_not_at_all(store, wire, run):
    run(store.create({"b": b"x"}))
    with pytest.raises(StoreKeyExistsError):
        run(store.create({"a": b"1", "b": b"2"}))
    assert "a" not in wire.entries


def test_an_outage_after_a_lost_answer_leaves_it_open(store, wire, reactor):
    wire.lose = 1
    ends = collect(store.create({"k": b"v"}))
    wire.is_down = True
    for _ in range(10):
        reactor.advance(0.5)
    assert ends[0].check(StoreReplyLostError)


def test_an_outage_from_the_start_promises_that_nothing_was_done(
    store, wire, reactor
):
    wire.is_down = True
    ends = collect(store.create({"k": b"v"}))
    for _ in range(10):
        reactor.advance(0.5)
    assert ends[0].check(StoreUnavailableError)
    assert not ends[0].check(StoreReplyLostError)


def test_pages_are_read_as_of_the_first(store, wire, run):
    wire.page_size = 2
    wire.change({f"p/{i}": bytes(16) for i in range(4)})
    read_page = wire.read_page

    async def read_and_add(prefix, *, after):
        page = await read_page(prefix, after=after)
        if after is None:
            # A key behind the first page and one before it.
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
