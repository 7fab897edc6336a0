"""Tests of the views of results at different gateways."""

import pytest
from twisted.internet import defer

from hollyspan_core.errors import StoreAnswerTooLargeError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_gateway.jobs import Item
from hollyspan_gateway.jobs import ItemResult
from hollyspan_gateway.jobs import Job
from hollyspan_gateway.jobs.records import build_result_key
from hollyspan_gateway.jobs.records import encode_result
from hollyspan_gateway.jobs.view import JobView

NAMES = ("b", "a", "d", "c")
LIMIT_BYTES = 1_000


@pytest.fixture
def build_view(store, reactor):
    def build(limit=LIMIT_BYTES):
        job = Job(
            identifier="j",
            host="h",
            path="/b/",
            submitted=0.0,
            due=9.0,
            retained_until=9.0,
            items=[
                Item(identifier=name, path="/b/x", headers=[], body=b"")
                for name in NAMES
            ],
        )
        return JobView(job=job, store=store, reactor=reactor, limit=limit)

    return build


@pytest.fixture
def finish(store, run):
    """Return a function that stores the result of an item."""

    def create(name, output=b"x"):
        result = ItemResult(identifier=name, is_done=True, output=output)
        key = build_result_key("j", name)
        run(store.create({key: encode_result(result)}))

    return create


def wait_for(view, position, seconds=1.0):
    outcomes = []
    work = defer.ensureDeferred(view.wait_for(position, seconds=seconds))
    work.addBoth(outcomes.append)
    return outcomes


def list_names(view):
    return [result.identifier for result in view.results]


def test_views_list_results_at_the_same_positions(build_view, finish):
    first_view, second_view = build_view(), build_view()
    wait_for(first_view, 0)
    for name in NAMES:
        finish(name)
        wait_for(first_view, len(first_view.results))
    wait_for(second_view, 0)
    assert list_names(first_view) == list_names(second_view) == list(NAMES)


def test_wait_ends_with_a_new_result(build_view, finish):
    view = build_view()
    finish("b")
    wait_for(view, 0)
    outcomes = wait_for(view, 1)
    assert outcomes == []
    finish("a")
    assert outcomes == [None]
    assert list_names(view) == ["b", "a"]


def test_wait_ends_at_its_timeout(build_view, finish, reactor):
    view = build_view()
    finish("b")
    wait_for(view, 0)
    outcomes = wait_for(view, 1)
    reactor.advance(1.1)
    assert outcomes == [None]
    assert list_names(view) == ["b"]


def test_positions_are_stable_when_history_is_lost(build_view, finish, wire):
    view = build_view()
    finish("d")
    wait_for(view, 0)
    finish("a")
    finish("b")
    wire.compacted_revision = wire.revision
    wait_for(view, 1)
    assert list_names(view) == ["d", "a", "b"]


def test_concurrent_waits_share_one_watch(build_view, finish, wire):
    view = build_view()
    finish("b")
    wait_for(view, 0)
    calls = len(wire.calls)
    outcomes = [wait_for(view, 1) for _ in range(5)]
    assert len(wire.calls) == calls + 1
    finish("a")
    assert outcomes == [[None]] * 5


# Failure: a read without a wait waited for the watch of another read, longer
# than the peer that had forwarded it, which then read all results itself.
def test_a_read_without_a_wait_does_not_wait_for_an_open_watch(
    build_view, finish, wire
):
    view = build_view()
    finish("b")
    wait_for(view, 0)
    waiting = wait_for(view, 1, seconds=1.0)
    calls = len(wire.calls)
    outcomes = wait_for(view, 1, seconds=0.0)
    view.reactor.advance(0.46)
    # The store has answered that there is none.
    assert wire.calls[calls] == "watch"
    view.reactor.advance(0.01)
    assert (waiting, outcomes) == ([], [None])
    # The open watch ends in time for this one.
    calls = len(wire.calls)
    outcomes = wait_for(view, 1, seconds=0.0)
    finish("a")
    assert waiting == outcomes == [None]
    assert wire.calls[calls:] == ["commit", "watch_end"]
    finish("d")
    wait_for(view, 2)
    assert list_names(view) == ["b", "a", "d"]


def test_a_read_beside_a_silent_watch_finds_new_results(
    build_view, finish, wire
):
    view = build_view()
    finish("b")
    wait_for(view, 0)
    watch, silent = wire.watch, []

    async def watch_in_silence(prefix, *, after, seconds):
        if seconds:
            silent.append(defer.Deferred())
            await silent[-1]
        return await watch(prefix, after=after, seconds=seconds)

    wire.watch = watch_in_silence
    waiting = wait_for(view, 1, seconds=1.0)
    finish("a")
    outcomes = wait_for(view, 1, seconds=0.0)
    view.reactor.advance(0.46)
    assert outcomes == [None]
    assert list_names(view) == ["b", "a"]
    finish("d")
    silent[0].callback(None)
    assert waiting == [None]
    assert list_names(view) == ["b", "a", "d"]


def test_wait_fails_in_an_outage(build_view, finish, wire):
    view = build_view()
    finish("b")
    wait_for(view, 0)
    wire.is_down = True
    assert wait_for(view, 0) == [None]
    (failure,) = wait_for(view, 1)
    assert failure.check(StoreUnavailableError)


def test_complete_job_is_read_without_a_store_call(build_view, finish, wire):
    view = build_view()
    for name in NAMES:
        finish(name)
    wait_for(view, 0)
    calls = len(wire.calls)
    assert wait_for(view, 4) == [None]
    assert len(wire.calls) == calls


def test_results_of_one_write_have_the_same_positions_everywhere(
    build_view, store, run
):
    listing, watching = build_view(), build_view()
    # The first read lists the results, the second one watches for them.
    for _ in range(2):
        wait_for(watching, 0)
    result = ItemResult(identifier="x", is_done=True, output=b"x")
    run(
        store.create(
            {
                build_result_key("j", name): encode_result(result)
                for name in NAMES
            }
        )
    )
    wait_for(listing, 0)
    assert list_names(watching) == list_names(listing) == sorted(NAMES)


# Failure: new results that are too many for one answer would be asked for
# again and again.
def test_too_many_new_results_are_read_in_pages(build_view, finish, wire):
    view = build_view()
    finish("a")
    wait_for(view, 0)
    assert list_names(view) == ["a"]
    finish("b")

    async def watch(prefix, *, after, seconds):
        raise StoreAnswerTooLargeError("kv-watch: too many changes")

    wire.watch = watch
    wait_for(view, 1)
    assert list_names(view) == ["a", "b"]


def read_page(view, position, **options):
    ends = []
    work = defer.ensureDeferred(view.read_page(position, **options))
    work.addBoth(ends.append)
    return ends


# Failure: a reader kept all outputs of a job, whatever their size.
@pytest.mark.parametrize("is_read_late", [False, True])
def test_outputs_of_one_large_job_are_bounded(
    build_view, finish, is_read_late
):
    view = build_view()
    outputs = {name: name.encode() * 400 for name in NAMES}
    for name in NAMES:
        finish(name, outputs[name])
        if not is_read_late:
            wait_for(view, len(view.results))
    wait_for(view, 0)
    assert list_names(view) == list(NAMES)
    assert view.held_bytes <= LIMIT_BYTES
    assert view.held_bytes == sum(
        len(each.output) for each in view.results if each.output is not None
    )
    position, found = 0, {}
    while position < len(NAMES):
        (page,) = read_page(view, position, max_bytes=500)
        assert len(page) == min(2, len(NAMES) - position)
        found |= {each.identifier: each.output for each in page}
        position += len(page)
    assert found == outputs
    assert view.held_bytes <= LIMIT_BYTES


def test_outputs_that_a_client_has_read_are_dropped_first(build_view, finish):
    view = build_view()
    for name in NAMES:
        finish(name, b"x" * 400)
        wait_for(view, len(view.results))
    assert [each.output is None for each in view.results] == [
        True,
        True,
        False,
        False,
    ]


# Failure: a read of the store that was behind a result ended as a 404 of its
# job.
def test_a_result_that_is_not_found_again_ends_no_job(
    build_view, finish, wire
):
    view = build_view(limit=0)
    finish("a")
    wait_for(view, 0)
    wire.change({}, removed=[build_result_key("j", "a")])
    (failure,) = read_page(view, 0, max_bytes=500)
    assert failure.check(StoreUnavailableError)
