"""Tests of jobs under a limit on waiting tokens."""

import json

import pytest
from twisted.internet import defer

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import QuotaExceededError
from hollyspan_core.errors import RecordUnreadableError
from hollyspan_core.errors import StoreReplyLostError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_gateway.jobs import ItemResult
from hollyspan_gateway.jobs.job_state import ItemState
from hollyspan_gateway.jobs.job_state import JobState
from hollyspan_gateway.jobs.loading import load_job
from hollyspan_gateway.jobs.quota import UNSETTLED_LIMIT_S
from hollyspan_gateway.jobs.quota_records import build_counters_prefix
from hollyspan_gateway.jobs.quota_records import build_quota_identifier
from hollyspan_gateway.jobs.quota_records import build_releases_key
from hollyspan_gateway.jobs.quota_records import decode_counters
from hollyspan_gateway.jobs.quota_records import decode_releases
from hollyspan_gateway.jobs.quota_records import encode_releases
from hollyspan_gateway.jobs.records import build_end_key
from hollyspan_gateway.jobs.records import build_result_key
from hollyspan_gateway.jobs.reservation import Reservation
from hollyspan_gateway.jobs.worker import Worker
from hollyspan_gateway.routes import RouteKind
from hollyspan_standins.memory import build_job

LIMIT = 800


@pytest.fixture
def build_route(helpers):
    def build(limit=LIMIT):
        return helpers.build_route(
            name="b",
            prefix="/b/",
            kind=RouteKind.BATCH,
            max_waiting_tokens=limit,
        )

    return build


@pytest.fixture
def build_front(build_gateway, build_route, reactor):
    """Return a function that builds a gateway with a settled limit."""

    def build(name="f1", *, limit=LIMIT):
        gateway = build_gateway(name=name, routes=[build_route(limit)])
        gateway.quotas.note_limits([build_route(limit)])
        reactor.advance(UNSETTLED_LIMIT_S)
        return gateway

    return build


@pytest.fixture
def front(build_front):
    return build_front()


@pytest.fixture
def accept(run, reactor, build_route):
    """Return a function that submits a job of one item."""

    def submit(gateway, name, tokens, *, limit=LIMIT):
        job = build_job(name, tokens=[tokens], submitted=reactor.seconds())
        is_new = run(gateway.quotas.create_record(job, build_route(limit)))
        assert is_new in (True, False)
        return job

    return submit


def finish_item(gateway, job):
    """Start to store the result of a job's item; return a Deferred."""
    state = ItemState(
        job_state=JobState(job=job, revision=1, has_read_results=True),
        item=job.items[0],
        key=1,
    )
    state.result = ItemResult(
        identifier=job.items[0].identifier, is_done=True, output=b"t"
    )
    return defer.ensureDeferred(gateway.worker.releases.store_result(state))


def build_worker(gateway):
    gateway.worker = Worker(gateway=gateway)
    return gateway


def test_a_job_costs_one_write_and_one_stale_read(front, wire, accept):
    accept(front, "j1", 100)
    assert wire.calls == ["read_stale_page", "commit"]


def test_two_gateways_with_the_same_view_do_not_exceed_the_limit(
    build_front, wire, accept
):
    fronts = [build_front(name) for name in ("f1", "f2")]
    wire.stale_entries = {}
    accept(fronts[0], "j1", 500)
    with pytest.raises(QuotaExceededError):
        accept(fronts[1], "j2", 500)


# Load: one workspace fills its limit; the others have theirs.
def test_each_workspace_has_the_limit_for_itself(
    build_front, run, reactor, build_route, store
):
    fronts = [build_front(name) for name in ("f1", "f2")]

    def submit(gateway, name, workspace):
        job = build_job(name, tokens=[500], submitted=reactor.seconds())
        job.workspace = workspace
        return run(gateway.quotas.create_record(job, build_route()))

    for number, workspace in enumerate(("w1", "w2", None)):
        assert submit(fronts[0], f"j{number}", workspace)
        with pytest.raises(QuotaExceededError):
            submit(fronts[1], f"k{number}", workspace)
    # Its record tells any build where its tokens are counted.
    stored = run(load_job(store, "j0"))
    assert stored.workspace == "w1"
    assert stored.reservation.quota == build_quota_identifier("b", "w1")


def test_the_end_of_an_item_frees_the_tokens_of_its_workspace(
    build_front, run, reactor, build_route
):
    front = build_worker(build_front())

    def submit(name, workspace):
        job = build_job(name, tokens=[LIMIT], submitted=reactor.seconds())
        job.workspace = workspace
        run(front.quotas.create_record(job, build_route()))
        return job

    job = submit("j1", "w1")
    submit("j2", "w2")
    finish_item(front, job)
    submit("j3", "w1")
    with pytest.raises(QuotaExceededError):
        submit("j4", "w2")


def test_a_refusal_says_when_to_come_back(build_front, accept, reactor):
    front = build_worker(build_front())
    jobs = [accept(front, f"j{number}", 100) for number in range(8)]
    for job in jobs[:4]:
        reactor.advance(1.0)
        finish_item(front, job)
        accept(front, job.identifier + "x", 100)
    with pytest.raises(QuotaExceededError) as caught:
        accept(front, "j8", 200)
    # 100 tokens end each second, and 200 are missing.
    assert 2.0 <= caught.value.retry_after <= 6.0


def test_a_stale_view_alone_does_not_refuse_a_job(build_front, accept, wire):
    front = build_worker(build_front())
    job = accept(front, "j1", 800)
    wire.stale_entries = dict(wire.entries)
    finish_item(front, job)
    accept(front, "j2", 800)


def test_a_lowered_limit_is_not_compared_with_a_stale_view(
    front, accept, wire, build_route
):
    wire.stale_entries = dict(wire.entries)
    accept(front, "j1", 400)
    front.quotas.note_limits([build_route(400)])
    with pytest.raises(QuotaExceededError):
        accept(front, "j2", 50, limit=400)


def test_a_repeated_job_is_accepted_when_the_limit_is_reached(front, accept):
    accept(front, "j1", 800)
    accept(front, "j1", 800)


def test_a_gateway_that_loses_each_race_refuses_in_the_end(
    front, accept, wire
):
    commit = wire.commit

    async def compete(**write):
        accept_key = next(key for key in write["expected"] if "/s/" in key)
        wire.change(
            {accept_key: bytes(16) + b'{"accepted": 0, "borrowed": 0}'}
        )
        return await commit(**write)

    wire.commit = compete
    with pytest.raises(StoreUnavailableError):
        accept(front, "j1", 100)
    assert not any(key.startswith("hs/j/") for key in wire.entries)


def test_counters_that_cannot_be_read_refuse_the_job_as_not_run(
    front, accept, wire
):
    async def lose(prefix, **options):
        raise StoreReplyLostError("no answer")

    wire.read_page = lose
    with pytest.raises(StoreUnavailableError) as caught:
        accept(front, "j1", 100)
    assert caught.value.outcome is Outcome.NOT_RUN
    assert "commit" not in wire.calls


def test_a_delayed_write_does_not_undo_later_releases(
    build_front, accept, wire, reactor
):
    front = build_worker(build_front())
    first, second = accept(front, "j1", 300), accept(front, "j2", 300)
    wire.writes_to_delay = 1
    finish_item(front, first)
    # The process is replaced before it repeats the write.
    restarted = build_worker(build_front())
    reactor.pump([0.0])
    finish_item(restarted, second)
    wire.apply_delayed_writes()
    waiting = [
        job.identifier
        for job in (first, second)
        if build_result_key(job.identifier, job.items[0].identifier)
        not in wire.entries
    ]
    with pytest.raises(QuotaExceededError):
        accept(restarted, "j3", LIMIT - 300 * len(waiting) + 1)
    accept(restarted, "j4", LIMIT - 300 * len(waiting))


def test_results_that_end_together_share_one_write(build_front, accept, wire):
    front = build_worker(build_front())
    jobs = [accept(front, f"j{number}", 10) for number in range(4)]
    wire.writes_to_lose = 1
    ends = [finish_item(front, job) for job in jobs]
    wire.calls.clear()
    front.reactor.pump([0.1] * 10)
    assert [end.result for end in ends] == [True] * 4
    assert wire.calls.count("commit") == 2


def test_results_wait_for_the_store_and_release_once(
    build_front, accept, wire, reactor
):
    front = build_worker(build_front())
    job = accept(front, "j1", 800)
    wire.is_down = True
    end = finish_item(front, job)
    reactor.pump([0.1] * 50)
    assert not end.called
    wire.is_down = False
    reactor.pump([0.1] * 10)
    assert end.called
    accept(front, "j2", 800)
    with pytest.raises(QuotaExceededError):
        accept(front, "j3", 8)


def count_waiting(wire):
    quota = build_quota_identifier("b")
    prefix = build_counters_prefix(quota)
    shares, _, released = decode_counters(
        [e for key, e in wire.entries.items() if key.startswith(prefix)],
        quota=quota,
    )
    return sum(share.accepted for share in shares) - sum(released)


def test_a_worker_releases_what_it_finishes(
    build_front, accept, wire, reactor, helpers
):
    front = build_worker(build_front())
    front.worker.start()
    accept(front, "j1", 500)
    reactor.pump([0.1] * 5)
    front.pool.last.answer(200, body=helpers.build_events(1, 2))
    assert count_waiting(wire) == 0


def test_an_ended_job_releases_its_tokens(
    build_front, accept, wire, reactor, run
):
    front = build_worker(build_front())
    front.worker.start()
    accept(front, "j1", 500)
    reactor.pump([0.1] * 5)
    run(front.store.create({build_end_key("j1"): b""}))
    reactor.pump([0.1] * 10)
    assert count_waiting(wire) == 0
    accept(front, "j2", 800)


# Results that are stored after the end release nothing by themselves.
@pytest.mark.parametrize("late", [0, 1, 2])
def test_a_job_that_ends_after_its_items_are_forgotten_is_released(
    build_front, build_route, wire, reactor, run, late
):
    front = build_worker(build_front())
    job = build_job("j1", tokens=[300, 500], submitted=reactor.seconds())
    run(front.quotas.create_record(job, build_route()))
    end_key = build_end_key("j1")
    for number, item in enumerate(job.items):
        if number == len(job.items) - late:
            run(front.store.create({end_key: b""}))
        run(
            front.store.create(
                {build_result_key("j1", item.identifier): b"done\n"}
            )
        )
    if not late:
        run(front.store.create({end_key: b""}))
    JobState(job=job, revision=1, has_read_results=True).forget_items()
    revision = wire.entries[end_key].created_revision
    reads = wire.calls.count("read")
    run(front.worker.releases.release_rest(job, end_revision=revision))
    assert count_waiting(wire) == 800 - (0, 500, 800)[late]
    assert (wire.calls.count("read") > reads) == (late > 0)


def test_an_ended_job_whose_owner_is_lost_is_released_by_the_next(
    build_front, accept, wire, reactor, run
):
    front = build_worker(build_front())
    accept(front, "j1", 500)
    run(front.store.create({build_end_key("j1"): b""}))
    other = build_worker(build_front("f2"))
    other.worker.start()
    reactor.pump([0.1] * 10)
    assert count_waiting(wire) == 0


# Failure: a counter with a member of a newer build, or one that cannot be
# read, failed submissions with an internal error.
def test_unknown_members_of_a_share_are_ignored(front, wire, accept):
    accept(front, "j1", 100)
    for key, entry in list(wire.entries.items()):
        if "/c/s/" in key:
            document = {**json.loads(entry.content), "of a newer build": 1}
            wire.change({key: bytes(16) + json.dumps(document).encode()})
    accept(front, "j2", 100)


def test_a_job_is_not_run_while_a_share_cannot_be_read(front, wire, accept):
    accept(front, "j1", 100)
    for key in list(wire.entries):
        if "/c/s/" in key:
            wire.change({key: bytes(16) + b"[]"})
    with pytest.raises(RecordUnreadableError) as raised:
        accept(front, "j2", 100)
    assert raised.value.outcome is Outcome.NOT_RUN


# Failure: a result was never stored, or a counter lost what it held, after the
# worker's own counter could not be read.
def test_a_result_waits_for_a_counter_that_can_be_read(
    build_front, wire, accept, reactor
):
    worker = build_worker(build_front("w1"))
    job = accept(worker, "j1", 100)
    key = build_releases_key(job.reservation.quota, "w1")
    wire.change({key: bytes(16) + b"[]"})
    stored = []
    finish_item(worker, job).addBoth(stored.append)
    reactor.pump([0.3] * 5)
    assert stored == [] and wire.entries[key].content == b"[]"
    wire.change({key: bytes(16) + encode_releases({0: 50})})
    reactor.pump([0.3] * 5)
    assert stored == [True]
    released = decode_releases(wire.entries[key].content)
    assert sum(released.values()) == 150


# Failure: results of all other routes waited while the worker's counter of
# one route could not be read.
def test_a_counter_that_cannot_be_read_holds_back_its_own_results_only(
    build_front, build_route, wire, accept, reactor
):
    worker = build_worker(build_front("w1"))
    first = accept(worker, "j1", 100)
    second = accept(worker, "j2", 100)
    second.reservation = Reservation(quota="other", share=0)
    key = build_releases_key(first.reservation.quota, "w1")
    wire.change({key: bytes(16) + b"from a newer build"})
    waiting = finish_item(worker, first)
    stored = finish_item(worker, second)
    reactor.pump([0.1] * 10)
    assert stored.called
    assert not waiting.called
    wire.change({key: bytes(16) + encode_releases({})})
    reactor.pump([0.1] * 10)
    assert waiting.called


# Failure: no result was stored any more, and the store was called without a
# pause, after the worker's counter had been removed.
def test_a_result_is_stored_after_the_counter_was_removed(
    build_front, wire, accept, reactor
):
    worker = build_worker(build_front("w1"))
    first, second = accept(worker, "j1", 100), accept(worker, "j2", 150)
    finish_item(worker, first)
    key = build_releases_key(first.reservation.quota, "w1")
    wire.change({}, removed=[key])
    commit, calls = wire.commit, []

    async def count_and_commit(**values):
        calls.append(values)
        if len(calls) > 20:
            raise StoreUnavailableError("too many calls")
        return await commit(**values)

    wire.commit = count_and_commit
    assert finish_item(worker, second).called
    released = decode_releases(wire.entries[key].content)
    assert sum(released.values()) == 250
