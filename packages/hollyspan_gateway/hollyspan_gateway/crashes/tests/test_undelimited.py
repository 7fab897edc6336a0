"""Tests of answers without a length that end with their upstream."""

import pytest
from twisted.internet import defer

from hollyspan_gateway.jobs import Item
from hollyspan_gateway.jobs import Job
from hollyspan_gateway.jobs.records import encode_job
from hollyspan_gateway.jobs.worker import Worker
from hollyspan_gateway.routes import RouteKind

UNDELIMITED = [(b"undelimited", b"1")]


@pytest.fixture
def send(gateway, reactor, helpers):
    """Return a function that sends a request and returns it."""

    def begin(**changes):
        gateway.routes = helpers.build_table([helpers.build_route(**changes)])
        request = helpers.build_request(reactor=reactor)
        head = helpers.build_head()
        defer.ensureDeferred(gateway.online.answer(request, head))
        return request

    return begin


def answer_and_end(gateway, body, *, headers=UNDELIMITED):
    """Answer as an upstream whose listening socket is closed last."""
    connection = gateway.pool.last
    connection.answer(200, headers=headers, body=body)
    gateway.reactor.advance(0.01)
    gateway.pool.unreachable.add(connection.address)
    gateway.reactor.advance(0.05)


def test_a_stream_goes_on_elsewhere_when_its_upstream_ends(
    gateway, send, helpers
):
    request = send()
    answer_and_end(gateway, helpers.build_events(1, 2))
    assert not request.is_ended
    assert gateway.pool.last.headers[b"resume"] == b"2"
    gateway.pool.last.answer(200, body=helpers.build_events(3, 5))
    assert request.written == helpers.build_events(1, 5)
    assert request.is_ended


def test_a_stream_that_ends_within_an_event_goes_on_elsewhere(
    gateway, send, helpers
):
    request = send()
    body = helpers.build_events(1, 3)[:-3]
    gateway.pool.last.answer(200, headers=UNDELIMITED, body=body)
    assert not request.is_ended
    assert gateway.pool.last.headers[b"resume"] == b"2"


def test_a_stream_without_an_event_is_not_complete(gateway, send, helpers):
    request = send()
    gateway.pool.last.answer(200, headers=UNDELIMITED)
    assert request.status is None
    assert len(gateway.pool.sent) == 2


def test_a_stream_of_an_upstream_that_goes_on_is_complete(
    gateway, send, helpers
):
    request = send()
    body = helpers.build_events(1, 3)
    gateway.pool.last.answer(200, headers=UNDELIMITED, body=body)
    gateway.reactor.advance(0.05)
    assert (request.written, request.is_ended) == (body, True)


def leave_and_end(gateway, body):
    answer_and_end(gateway, body, headers=[*UNDELIMITED, (b"leaving", b"1")])


# Failure: a part of an answer was taken for the whole, since its upstream had
# announced its shutdown.
def test_the_rest_of_an_answer_is_asked_for_when_its_leaving_upstream_ends(
    gateway, send, helpers
):
    request = send()
    leave_and_end(gateway, helpers.build_events(1, 3))
    assert not request.is_ended
    assert gateway.pool.last.headers[b"resume"] == b"3"
    gateway.pool.last.answer(200, body=helpers.build_events(4, 5))
    assert request.written == helpers.build_events(1, 5)
    assert request.is_ended


def test_a_leaving_upstream_may_end_after_its_last_answer(
    gateway, send, helpers
):
    request = send()
    body = helpers.build_events(1, 3)
    leave_and_end(gateway, body)
    gateway.pool.last.answer(200)
    assert (request.written, request.is_ended) == (body, True)


def test_an_answer_that_may_run_once_is_broken_off_with_its_leaving_upstream(
    gateway, send, helpers
):
    request = send(is_resumable=False, max_attempts=1)
    leave_and_end(gateway, helpers.build_events(1, 3))
    assert request.is_aborted and not request.is_ended
    assert len(gateway.pool.sent) == 1


def test_a_whole_answer_is_sent_again_when_its_upstream_ends(gateway, send):
    request = send(kind=RouteKind.IDEMPOTENT)
    answer_and_end(gateway, b"half of it")
    gateway.pool.last.answer(200, body=b"all of it")
    assert request.written == b"all of it"


def test_an_answer_that_may_run_once_is_not_reported_as_complete(
    gateway, send
):
    request = send(kind=RouteKind.ONCE, is_resumable=False)
    answer_and_end(gateway, b"half of it")
    assert request.written == b"unknown"
    assert len(gateway.pool.sent) == 1


@pytest.mark.parametrize("is_ended", (True, False))
def test_an_item_without_its_last_events_has_no_result(
    build_gateway, helpers, store, run, reactor, is_ended
):
    route = helpers.build_route(host="h", prefix="/b/", kind=RouteKind.BATCH)
    gateway = build_gateway(routes=[route])
    gateway.worker = Worker(gateway=gateway)
    gateway.worker.start()
    now = reactor.seconds()
    job = Job(
        identifier="j",
        host="h",
        path="/b/",
        submitted=now,
        due=now + 18.0,
        retained_until=now + 60.0,
        items=[Item(identifier="i", path="/b/x", headers=[], body=b"")],
    )
    run(store.create(encode_job(job)))
    reactor.advance(0.2)
    if is_ended:
        answer_and_end(gateway, helpers.build_events(1, 2))
    else:
        gateway.pool.last.answer(200, headers=UNDELIMITED)
        reactor.advance(0.05)
    reactor.advance(0.5)
    (job_state,) = gateway.worker.catalogue.list_incomplete()
    assert job_state.items["i"].result is None
    assert len(gateway.pool.sent) == 2
