"""Tests of the memory that jobs take while they are accepted."""

import json
import random
import tracemalloc
import zlib

import pytest
from twisted.internet import defer

from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import OverloadedError
from hollyspan_gateway.jobs import Item
from hollyspan_gateway.jobs import Job
from hollyspan_gateway.jobs.record_encoding import RecordEncoding
from hollyspan_gateway.jobs.records import decode_job
from hollyspan_gateway.jobs.records import encode_job
from hollyspan_gateway.jobs.reservation import Reservation
from hollyspan_gateway.jobs.submissions import Submissions
from hollyspan_gateway.routes import RouteKind

LIMIT_BYTES = 1_000
BODY_BYTES = 300_000
ITEMS = 10


@pytest.fixture
def submissions(gateway):
    return Submissions(gateway=gateway, limit=LIMIT_BYTES)


@pytest.fixture
def submit(gateway, submissions, helpers, reactor):
    """Return a function that submits a job; it returns how this ended."""
    route = helpers.build_route(host="h", prefix="/b/", kind=RouteKind.BATCH)

    def start(name, size, *, item="i"):
        gateway.dialect.decode_items = lambda body: [
            Item(identifier=item, path="/b/x", headers=[], body=body)
        ]
        request = helpers.build_request(reactor=reactor, body=b"x" * size)
        head = helpers.build_head(identifier=name)
        ends = []
        work = defer.ensureDeferred(submissions.handle(request, head, route))
        work.addBoth(ends.append)
        return request, ends

    return start


def build_job(bodies):
    return Job(
        identifier="j",
        host="h",
        path="/b/",
        submitted=1.5,
        due=2.5,
        retained_until=3.5,
        items=[
            Item(
                identifier=f"i{number}",
                path="/b/x",
                headers=[("Model", "m")],
                body=body,
                tokens=number,
            )
            for number, body in enumerate(bodies)
        ],
    )


# Failure: a front accepted any number of jobs at the same time, and took nine
# times the size of each.
def test_a_job_without_room_is_refused_before_it_is_stored(
    submissions, submit, wire, reactor
):
    wire.writes_to_lose = 1
    first, ends = submit("j1", 900)
    assert not ends
    calls = list(wire.calls)
    _, (failure,) = submit("j2", 200)
    error = failure.check(OverloadedError) and failure.value
    assert (error.status, error.outcome) == (503, Outcome.NOT_RUN)
    assert error.retry_after > 0
    assert wire.calls == calls
    # What fits is accepted.
    third, ends = submit("j3", 100)
    assert third.status == 202
    reactor.pump([0.1] * 10)
    assert first.status == 202
    again, _ = submit("j2", 200)
    assert again.status == 202
    assert (submissions.held_bytes, submissions.refused) == (0, 1)
    assert {"hs/j/j1", "hs/j/j2", "hs/j/j3"} == set(wire.entries)


def test_a_long_job_is_accepted_while_there_is_no_other(submit, wire):
    request, _ = submit("j", 10 * LIMIT_BYTES)
    assert request.status == 202


def test_a_job_that_is_broken_off_leaves_its_room(submissions, submit, wire):
    wire.is_down = True
    submit("j", 900)
    assert submissions.held_bytes == 900
    submissions.gateway.reactor.pump([0.1] * 30)
    assert submissions.held_bytes == 0


def test_the_received_body_is_not_kept_while_the_job_is_stored(submit, wire):
    wire.writes_to_lose = 1
    request, _ = submit("j", 900)
    assert request.content.getvalue() == b""


def test_a_record_is_the_document_that_all_builds_read():
    job = build_job([b"", b"\x00\xff", b"text"])
    (content,) = encode_job(job).values()
    assert content[0] == 1
    assert json.loads(zlib.decompress(content[1:])) == {
        "host": "h",
        "path": "/b/",
        "submitted": 1.5,
        "due": 2.5,
        "retained_until": 3.5,
        "reservation": None,
        "workspace": None,
        "items": [
            {
                "id": f"i{number}",
                "path": "/b/x",
                "headers": [["Model", "m"]],
                "body": body,
                "tokens": number,
            }
            for number, body in enumerate(["", "AP8=", "dGV4dA=="])
        ],
    }


# Failure: the record of a job was encoded in several steps, of which each
# held all of it.
def test_a_record_is_encoded_within_twice_its_bodies():
    source = random.Random(7)
    job = build_job([source.randbytes(BODY_BYTES) for _ in range(ITEMS)])
    tracemalloc.start()
    try:
        encode_job(job)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak <= 2 * ITEMS * BODY_BYTES


def test_a_record_of_several_parts_can_be_finished_again():
    source = random.Random(7)
    job = build_job([source.randbytes(BODY_BYTES) for _ in range(ITEMS)])
    bodies = [item.body for item in job.items]
    encoding = RecordEncoding(items=job.items)
    job.drop_bodies()
    for share in (1, 2):
        job.reservation = Reservation(quota="q", share=share)
        first, *others = encode_job(job, encoding=encoding).values()
        assert first[0] == 1 + len(others)
        assert len(others) >= 3
        assert max(map(len, others)) <= 900_000
        read = decode_job("j", first[1:] + b"".join(others))
        assert [item.body for item in read.items] == bodies
        assert read.reservation.share == share
        assert read.due == job.due


# Failure: each attempt to count a job's tokens encoded its bodies anew, which
# were kept until it was stored.
def test_a_job_under_a_limit_keeps_no_bodies_while_it_is_stored(
    gateway, wire, helpers, reactor
):
    route = helpers.build_route(
        host="h",
        prefix="/b/",
        kind=RouteKind.BATCH,
        max_waiting_tokens=1_000,
    )
    job = build_job([b"x" * 100])
    wire.writes_to_lose = 1
    ends = []
    work = defer.ensureDeferred(
        gateway.quotas.create_record(job, route, on_encoded=job.drop_bodies)
    )
    work.addBoth(ends.append)
    assert not ends
    assert [item.body for item in job.items] == [None]
    reactor.pump([0.1] * 10)
    assert ends == [True]


def test_a_job_without_room_is_answered_before_it_is_decoded(
    gateway, helpers, reactor, wire
):
    gateway.routes = helpers.build_table(
        [helpers.build_route(host="h", prefix="/b/", kind=RouteKind.BATCH)]
    )
    head = helpers.build_head(identifier="j")
    head.target = b"/b/"
    gateway.dialect.decode_head = lambda request: head
    request = helpers.build_request(reactor=reactor, body=b"")
    request.refusal = OverloadedError(
        "full", outcome=Outcome.NOT_RUN, retry_after=0.5
    )
    calls = list(wire.calls)
    gateway.online.handle(request)
    assert request.status == 503
    assert wire.calls == calls


def test_only_jobs_are_found_a_room(gateway, submissions, helpers):
    gateway.routes = helpers.build_table(
        [
            helpers.build_route(host="h", prefix="/b/", kind=RouteKind.BATCH),
            helpers.build_route(host="h", prefix="/o/"),
        ]
    )
    assert submissions.find_room("h", "/b/") == submissions.hold
    assert submissions.find_room("h", "/o/x") is None
    assert submissions.find_room("other", "/b/") is None
    gateway.routes = None
    assert submissions.find_room("h", "/b/") is None


# Failure: a job was accepted whose results had no key in the store, and their
# writes were repeated without end, those of other jobs with them.
@pytest.mark.parametrize("length, is_accepted", [(185, True), (186, False)])
def test_a_job_whose_results_have_no_key_is_refused(
    gateway, submissions, submit, wire, length, is_accepted
):
    name = "j" * 9
    request, ends = submit(name, 10, item="i" * length)
    if is_accepted:
        assert request.status == 202
        return
    assert ends[0].check(InvalidRequestError)
    assert wire.entries == {}
