"""Tests of items whose prompts end upstreams."""

import pytest

from hollyspan_core.errors import StreamLostError
from hollyspan_gateway.jobs import Item
from hollyspan_gateway.jobs import Job
from hollyspan_gateway.jobs.records import encode_job
from hollyspan_gateway.jobs.worker import Worker
from hollyspan_gateway.peers.peer import Peer
from hollyspan_gateway.routes import RouteKind

FATAL = 2


@pytest.fixture
def gateway(build_gateway, helpers):
    """A gateway that runs items on five upstreams."""
    route = helpers.build_route(
        host="h", prefix="/b/", kind=RouteKind.BATCH, max_attempts=3
    )
    gateway = build_gateway(
        routes=[route], upstreams=("u1", "u2", "u3", "u4", "u5")
    )
    gateway.worker = Worker(gateway=gateway)
    gateway.worker.start()
    return gateway


@pytest.fixture
def submit(store, run, reactor):
    """Return a function that stores a job with a part for each item."""

    def create(*parts, retained=60.0):
        now = reactor.seconds()
        items = [
            Item(
                identifier=f"j{number}",
                path="/b/x",
                headers=[("part", str(part))],
                body=b"",
            )
            for number, part in enumerate(parts)
        ]
        job = Job(
            identifier="j",
            host="h",
            path="/b/",
            submitted=now,
            due=now + 18.0,
            retained_until=now + retained,
            items=items,
        )
        run(store.create(encode_job(job)))
        reactor.advance(0.2)

    return create


def break_upstream(gateway, connection):
    gateway.pool.unreachable.add(connection.address)
    connection.exchange.on_failure(StreamLostError("connection closed"))


def end_three_upstreams(gateway, reactor):
    for _ in range(3):
        break_upstream(gateway, gateway.pool.last)
        reactor.advance(0.5)


def test_an_item_that_ends_upstreams_is_held_back(
    gateway, submit, reactor, helpers
):
    submit(FATAL)
    end_three_upstreams(gateway, reactor)
    sent = len(gateway.pool.sent)
    for _ in range(17):
        reactor.advance(0.1)
    assert len(gateway.pool.sent) == sent
    # Two trials, which fail.
    for _ in range(600):
        if len(gateway.pool.sent) > sent:
            sent += 1
            # Others answer.
            for upstream in gateway.directory.upstreams.values():
                gateway.reach.note_data(upstream)
            break_upstream(gateway, gateway.pool.last)
            gateway.directory.update_entry(
                f"v{sent}", helpers.build_entry(f"v{sent}", port=20 + sent)
            )
        reactor.advance(0.1)
        assert len(gateway.pool.sent) <= sent + 1
    assert sent == 6
    (job_state,) = gateway.worker.catalogue.list_incomplete()
    assert job_state.items["j0"].result is None


def test_the_other_items_of_its_job_are_run(gateway, submit, reactor):
    gateway.guard.block_list.add(frozenset({FATAL}), at=reactor.seconds())
    submit(FATAL, 7, 8)
    reactor.advance(0.5)
    parts = {sent.headers[b"parts"] for sent in gateway.pool.sent}
    assert parts == {b"7", b"8"}


def test_a_blocked_item_ends_with_its_retention_time(gateway, submit, reactor):
    gateway.guard.block_list.add(
        frozenset({FATAL}), at=reactor.seconds(), failed_trials=2
    )
    submit(FATAL, retained=5.0)
    (job_state,) = gateway.worker.catalogue.list_incomplete()
    state = job_state.items["j0"]
    for _ in range(60):
        reactor.advance(0.2)
    assert state.result.is_done is False
    assert gateway.pool.sent == []


# Failure: items with a blocked part were never tried, since a gateway that
# runs no items was to try it.
def test_a_blocked_item_is_tried_by_the_gateway_that_runs_it(
    gateway, submit, reactor, helpers, wire
):
    gateway.settings.runs_batch = True
    fronts = [
        Peer(key=number, address=("10.0.0.9", number))
        for number in range(1, 21)
    ]
    gateway.peers.list_live = lambda: fronts
    gateway.guard.block_list.add(frozenset({FATAL}), at=reactor.seconds())
    submit(FATAL, FATAL)
    for _ in range(17):
        reactor.advance(0.1)
    assert gateway.pool.sent == []
    for _ in range(12):
        if not gateway.pool.sent:
            reactor.advance(0.1)
    (trial,) = gateway.pool.sent
    trial.answer(200, body=helpers.build_events(1, 1))
    reactor.advance(0.2)
    assert not gateway.guard.blocks
    assert len(gateway.pool.sent) == 2


def test_a_waiting_run_is_broken_off_and_one_that_writes_is_not(
    gateway, submit, reactor, helpers
):
    submit(FATAL, FATAL)
    first, second = gateway.pool.sent
    first.answer(200, body=helpers.build_events(1, 1), is_complete=False)
    gateway.guard.block_list.add(frozenset({FATAL}), at=reactor.seconds())
    assert second.is_cancelled
    assert not first.is_cancelled
    reactor.advance(0.6)
    first.exchange.on_data(helpers.build_events(2, 2))
    # The upstream has survived the part.
    assert not gateway.guard.blocks


@pytest.fixture
def lost_items(gateway, submit, reactor, helpers):
    """Runs of a job's items whose upstreams have ended together.

    Another item's run goes on, so that the gateway's links are sound.
    """
    submit(FATAL, FATAL, FATAL, 7)
    *lost, other = gateway.pool.sent
    assert len({each.address for each in gateway.pool.sent}) == 4
    other.answer(200, body=helpers.build_events(1, 1), is_complete=False)
    for number, each in enumerate(lost, 2):
        other.exchange.on_data(helpers.build_events(number, number))
        break_upstream(gateway, each)
        reactor.advance(0.05)
    other.exchange.on_data(helpers.build_events(5, 5))
    other.end()
    reactor.advance(0.3)
    assert set(gateway.guard.blocks) == {frozenset({FATAL})}
    for upstream in list(gateway.directory.upstreams.values()):
        if upstream.entry.address in gateway.pool.unreachable:
            gateway.directory.remove(upstream)
    return lost


# Failure: items of a job were open at the end, and nothing worked on them:
# upstreams had ended together just after the items were sent there.
def test_items_run_again_soon_after_upstreams_have_ended_together(
    gateway, lost_items, reactor, helpers
):
    answered = len(gateway.pool.sent)
    for _ in range(180):
        reactor.advance(0.1)
        for each in gateway.pool.sent[answered:]:
            each.answer(200, body=helpers.build_events(1, 1))
        answered = len(gateway.pool.sent)
    assert not gateway.guard.blocks
    assert not gateway.worker.catalogue.list_incomplete()


def test_a_part_that_ends_upstreams_together_is_tried_twice_soon(
    gateway, lost_items, reactor, helpers
):
    first = len(gateway.pool.sent)
    for count in range(1, 3):
        name = f"v{count}"
        gateway.directory.update_entry(
            name, helpers.build_entry(name, port=20 + count)
        )
        while len(gateway.pool.sent) < first + count:
            reactor.advance(0.1)
        # Others answer.
        for upstream in gateway.directory.upstreams.values():
            gateway.reach.note_data(upstream)
        break_upstream(gateway, gateway.pool.last)
        reactor.advance(0.5)
        (block,) = gateway.guard.blocks.values()
        assert block.failed_trials == count
    assert reactor.seconds() < 120.0
    for _ in range(250):
        reactor.advance(0.1)
    assert len(gateway.pool.sent) == first + 2


def test_a_block_that_is_told_before_its_ends_is_tried_soon(
    gateway, submit, reactor
):
    gateway.guard.block_list.add(frozenset({FATAL}), at=reactor.seconds())
    (block,) = gateway.guard.blocks.values()
    assert not block.is_doubtful
    for key in range(3):
        gateway.guard.apply_end(
            key, {(FATAL,)}, at=reactor.seconds(), is_confirmed=True
        )
    reactor.advance(0.3)
    assert block.is_doubtful


def run_until_silent(gateway, reactor, *, count):
    """Let runs fall silent; return the next ones, sent elsewhere."""
    for _ in range(30):
        reactor.advance(0.1)
    first, runs = gateway.pool.sent[:count], gateway.pool.sent[count:]
    assert all(each.is_cancelled for each in first)
    assert len({each.address for each in runs}) == count
    return runs


# Failure: items of a job were open at the end, and nothing worked on them:
# upstreams that stood still were killed before they had read them.
def test_upstreams_that_end_in_a_silence_speak_against_no_item(
    gateway, submit, reactor
):
    submit(7, 7, 7)
    runs = run_until_silent(gateway, reactor, count=3)
    gateway.reach.note_data(gateway.directory.upstreams["u1"])
    for connection in runs:
        break_upstream(gateway, connection)
        reactor.advance(0.1)
    assert not gateway.guard.evidence.ends
    for _ in range(10):
        reactor.advance(0.1)
    assert len(gateway.pool.sent) > 6


# Failure: the same while their runs still wait in the silence.
def test_upstreams_that_end_under_waiting_runs_speak_against_no_item(
    gateway, submit, reactor
):
    submit(7, 7, 7)
    runs = list(gateway.pool.sent)
    for _ in range(13):
        reactor.advance(0.1)
    assert not any(run.is_cancelled for run in runs)
    for run in runs:
        break_upstream(gateway, run)
    reactor.advance(0.1)
    assert not gateway.guard.evidence.ends


# Failure: the same with a job that was accepted in the silence.
def test_items_first_sent_in_a_silence_are_not_blamed(
    gateway, submit, reactor
):
    submit(7, 7)
    first, second = gateway.pool.sent
    reactor.advance(0.5)
    gateway.reach.note_silence(gateway.directory.upstreams["u3"])
    for connection in (first, second):
        break_upstream(gateway, connection)
    assert not gateway.guard.evidence.ends


def test_an_upstream_stands_still_until_it_is_heard(gateway, reactor):
    reach = gateway.reach
    first, second, *_ = gateway.directory.upstreams.values()
    assert not reach.is_silent(first)
    reach.note_silence(first)
    assert reach.is_silent(first)
    assert reach.is_silent(second)
    reactor.advance(0.1)
    reach.note_data(second)
    assert reach.is_silent(first)
    assert not reach.is_silent(second)
    reach.note_data(first)
    assert not reach.is_silent(first)


def test_an_upstream_that_ends_after_a_silence_speaks_against_its_item(
    gateway, submit, reactor, helpers
):
    submit(FATAL)
    (run,) = run_until_silent(gateway, reactor, count=1)
    run.answer(200, body=helpers.build_events(1, 1), is_complete=False)
    break_upstream(gateway, run)
    reactor.advance(0.1)
    assert len(gateway.guard.evidence.ends) == 1


def test_a_preempted_run_tells_nothing_of_its_part(gateway, submit, reactor):
    submit(FATAL)
    (state,) = gateway.worker.running.values()
    gateway.pool.unreachable.add(gateway.pool.last.address)
    state.run.cancel()
    reactor.advance(0.1)
    assert not gateway.guard.evidence.ends
    assert not gateway.guard.evidence.survivals


def test_an_item_that_only_ran_beside_goes_on(gateway, submit, reactor):
    submit(7)
    end_three_upstreams(gateway, reactor)
    assert gateway.guard.blocks
    gateway.guard.apply_survival((7,), at=reactor.seconds())
    reactor.advance(0.5)
    assert len(gateway.pool.sent) == 4


def test_an_item_without_parts_that_ends_upstreams_is_run_ever_more_rarely(
    gateway, submit, reactor
):
    submit(7)
    (state,) = gateway.worker.running.values()
    state.shared_parts = ()
    for _ in range(300):
        if state.run is not None:
            break_upstream(gateway, gateway.pool.last)
            gateway.pool.unreachable.clear()
        reactor.advance(0.1)
    assert len(gateway.pool.sent) <= 12
    assert state.result is None


def test_answers_with_an_error_check_no_upstream(gateway, submit, reactor):
    submit(FATAL)
    gateway.pool.unreachable.add(gateway.pool.last.address)
    gateway.pool.last.answer(500)
    reactor.advance(0.1)
    assert not gateway.guard.evidence.ends


def test_an_event_ends_a_row_of_broken_runs(gateway, submit, reactor, helpers):
    submit(7)
    (state,) = gateway.worker.running.values()
    state.lost_runs = 5
    connection = gateway.pool.last
    connection.answer(200, body=helpers.build_events(1, 1), is_complete=False)
    connection.exchange.on_failure(StreamLostError("connection closed"))
    assert state.lost_runs == 0


def test_a_run_that_is_a_trial_is_not_preempted(gateway, submit, reactor):
    gateway.guard.block_list.add(
        frozenset({FATAL}), at=reactor.seconds() - 5.0
    )
    submit(FATAL, 7)
    trial, *_ = (
        state
        for state in gateway.worker.running.values()
        if state.shared_parts == (FATAL,)
    )
    upstream = trial.run.upstream
    upstream.set_peer_load("p", (9, 0))
    gateway.worker.preempt_items(upstream)
    assert trial.run is not None
    (block,) = gateway.guard.blocks.values()
    assert gateway.guard.trials.is_tried_here(block)
