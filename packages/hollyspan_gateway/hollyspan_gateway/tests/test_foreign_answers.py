"""Tests of answers that the upstream itself has not given."""

import types

import pytest
from twisted.internet import defer

from hollyspan_core.errors import AnswerForeignError
from hollyspan_core.errors import Outcome
from hollyspan_gateway.jobs.records import build_results_prefix
from hollyspan_gateway.jobs.records import decode_result
from hollyspan_gateway.jobs.records import encode_job
from hollyspan_gateway.jobs.worker import Worker
from hollyspan_gateway.online.hop import Hop
from hollyspan_gateway.online.relay import Relay
from hollyspan_gateway.routes import RouteKind
from hollyspan_standins.memory import build_head
from hollyspan_standins.memory import build_job
from hollyspan_standins.memory import build_route
from hollyspan_standins.memory import MemoryRequest
from hollyspan_standins.memory import RawPool

from .test_answers_without_events import answer_soundly
from .test_answers_without_events import break_off
from .test_answers_without_events import build_raw
from .test_answers_without_events import EVENTS
from .test_answers_without_events import WHOLE

TEXT = b"value is not a valid dict"
STATUSES = (200, 201, 302, 400, 404, 422, 429, 500, 503, 504)
ALL_STATUSES = pytest.mark.parametrize("status", STATUSES)
UPSTREAMS = ("u1", "u2", "u3", "u4")


def build_foreign(status):
    """Return an answer that also tells of a load and of a departure."""
    return build_raw(
        status, EVENTS, b"foreign: 1", b"load: 8,9,8", b"leaving: 1", body=TEXT
    )


@pytest.fixture
def gateway(build_gateway, reactor):
    gateway = build_gateway(upstreams=UPSTREAMS)
    gateway.use_pool(RawPool(reactor=reactor))
    return gateway


@pytest.fixture
def send(gateway, helpers, reactor):
    """Return a function that sends a request and returns it."""

    def begin(**changes):
        route = helpers.build_route(**{"max_attempts": 4, **changes})
        gateway.routes = helpers.build_table([route])
        request = MemoryRequest(reactor=reactor)
        head = build_head("q1")
        work = defer.ensureDeferred(gateway.online.answer(request, head))
        work.addErrback(gateway.online.handle_failure, request, head)
        return request

    return begin


def answer(gateway, status):
    gateway.pool.last.receive(build_foreign(status))
    gateway.reactor.pump([0.01] * 5)


# Failure: callers got a 422 of another program.
@ALL_STATUSES
@pytest.mark.parametrize("kind", [RouteKind.STREAM, RouteKind.IDEMPOTENT])
def test_a_request_that_may_be_repeated_goes_on_elsewhere(
    gateway, send, status, kind
):
    request = send(kind=kind)
    answer(gateway, status)
    assert len(gateway.pool.sent) == 2 and not request.written
    answer_soundly(gateway, after=0)
    assert (request.status, request.written) == (200, WHOLE)
    assert gateway.refused.counts == {"answer": 1}
    assert gateway.metrics.sends["answer_foreign"] == 1


@ALL_STATUSES
@pytest.mark.parametrize("kind", [RouteKind.STREAM, RouteKind.ONCE])
def test_what_became_of_a_request_that_runs_once_is_unknown(
    gateway, send, status, kind
):
    request = send(kind=kind, is_resumable=False)
    answer(gateway, status)
    assert len(gateway.pool.sent) == 1
    assert request.is_ended and request.status not in (status, 429, 503)
    assert request.written == b"unknown"


def test_a_foreign_answer_says_nothing_of_the_upstream(gateway, send):
    send()
    name = gateway.pool.last.headers[b"upstream"].decode()
    upstream = gateway.directory.upstreams[name]
    answer(gateway, 422)
    assert upstream.unsent_report is None
    assert upstream.accepts_work
    assert gateway.pool.sent[0].is_aborted


@ALL_STATUSES
def test_a_stream_goes_on_past_a_foreign_answer(gateway, send, status):
    request = send()
    break_off(gateway, after=0, last=3)
    answer(gateway, status)
    answer_soundly(gateway, after=3)
    assert (request.written, request.is_ended) == (WHOLE, True)


# The peer may run a build that passes on whatever it gets.
@ALL_STATUSES
def test_a_foreign_answer_that_a_peer_passes_on_is_no_answer(
    gateway, reactor, status
):
    relay = Relay(
        gateway=gateway,
        request=MemoryRequest(reactor=reactor),
        head=build_head("q1"),
        route=build_route(max_attempts=4),
        service="m",
        body=b"",
        deadline=reactor.seconds() + 5.0,
    )
    peer = types.SimpleNamespace(
        identifier="p", address=("10.9.0.1", 1), is_live=lambda now: True
    )
    ends = []
    work = defer.ensureDeferred(Hop(relay=relay, peer=peer).run())
    work.addBoth(ends.append)
    answer(gateway, status)
    (error,) = ends
    assert isinstance(error, AnswerForeignError)
    assert error.outcome is Outcome.UNKNOWN
    assert not relay.request.written


@pytest.fixture
def worker(build_gateway, helpers, store, run, reactor):
    """A gateway that runs one item, which is given up after one failure."""
    route = helpers.build_route(
        host="h", prefix="/b/", kind=RouteKind.BATCH, max_attempts=1
    )
    gateway = build_gateway(routes=[route], upstreams=UPSTREAMS)
    gateway.use_pool(RawPool(reactor=reactor))
    gateway.worker = Worker(gateway=gateway)
    gateway.worker.start()
    job = build_job("j", tokens=[1], submitted=reactor.seconds())
    run(store.create(encode_job(job)))
    reactor.advance(0.2)
    return gateway


def list_results(wire):
    prefix = build_results_prefix("j")
    return [
        decode_result(key, entry.content).is_done
        for key, entry in wire.entries.items()
        if key.startswith(prefix)
    ]


# Failure: items were given up on a 422 of another program.
@ALL_STATUSES
@pytest.mark.parametrize("last", (0, 3))
def test_a_foreign_answer_ends_no_item_and_counts_as_no_failed_run(
    worker, reactor, wire, status, last
):
    break_off(worker, after=0, last=last)
    for _ in range(3):
        reactor.pump([0.05] * 12)
        answer(worker, status)
    (job_state,) = worker.worker.catalogue.list_incomplete()
    state = job_state.items["ji0"]
    assert (state.result, state.failures) == (None, 0)
    assert worker.refused.counts == {"answer": 3}
    for _ in range(100):
        reactor.advance(0.05)
        if worker.pool.last.exchange is not None:
            break
    resume = worker.pool.last.headers[b"resume"]
    answer_soundly(worker, after=0 if resume == b"None" else int(resume))
    assert list_results(wire) == [True]


def test_items_that_get_foreign_answers_alone_are_run_rarely(worker, reactor):
    for _ in range(600):
        if worker.pool.last.exchange is not None:
            answer(worker, 422)
        reactor.advance(0.05)
    assert 3 < len(worker.pool.sent) < 20
