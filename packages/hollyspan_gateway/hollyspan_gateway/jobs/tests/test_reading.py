"""Tests of reads of jobs, at the reader of a job and at other gateways."""

import pytest
from twisted.internet import defer

from hollyspan_core.errors import BatchNotFoundError
from hollyspan_gateway.jobs import Item
from hollyspan_gateway.jobs import ItemResult
from hollyspan_gateway.jobs import Job
from hollyspan_gateway.jobs.records import build_result_key
from hollyspan_gateway.jobs.records import encode_job
from hollyspan_gateway.jobs.records import encode_result
from hollyspan_gateway.peers import FleetMessage

READS_PREFIX = b"/jobs/"


@pytest.fixture
def submit(store, run):
    """Return a function that stores a job with one item and its result."""

    def create(identifier="j", *, name="i1"):
        job = Job(
            identifier=identifier,
            host="h",
            path="/b/",
            submitted=0.0,
            due=9.0,
            retained_until=9.0,
            items=[Item(identifier=name, path="/b/x", headers=[], body=b"B")],
        )
        result = ItemResult(identifier=name, is_done=True, output=b"x")
        run(store.create(encode_job(job)))
        key = build_result_key(identifier, name)
        run(store.create({key: encode_result(result)}))

    return create


@pytest.fixture
def pair(build_gateway, reactor):
    """Two live gateways of one region."""
    gateways = [build_gateway(name=name) for name in ("g1", "g2")]
    for gateway in gateways:
        for other in gateways:
            gateway.peers.add({other.settings.instance: ("10.0.0.1", 1)})
        for peer in gateway.peers.peers.values():
            receive_heartbeat(gateway, peer, reactor)
    return gateways


def receive_heartbeat(gateway, peer, reactor, **state):
    values = {"reaches_store": True, "region": gateway.peers.region, **state}
    message = FleetMessage(
        sender=peer.key,
        incarnation=1,
        sequence=peer.sequence + 1,
        is_full=True,
        loads=[],
        heartbeat_seconds=0.3,
        **values,
    )
    peer.apply(message, now=reactor.seconds())


def find_job(gateway, *, is_read_here, prefix=""):
    """Return a job that the gateway reads itself, or that its peer reads."""
    return next(
        name
        for name in (f"{prefix}{number}" for number in range(100))
        if (gateway.reading.find_reader(name) is None) == is_read_here
    )


def read(gateway, helpers, reactor, identifier, **changes):
    request = helpers.build_request(reactor=reactor)
    options = {"position": 0, "wait_seconds": 0.0, **changes}
    work = defer.ensureDeferred(
        gateway.reading.read(request, identifier, **options)
    )
    request.ended = []
    work.addBoth(request.ended.append)
    return request


def deliver_to(source, target, helpers, reactor):
    """Deliver the last request of the source to the target, and its reply."""
    sent = source.pool.last
    request = helpers.build_request(reactor=reactor)
    path = sent.exchange.target.removeprefix(READS_PREFIX).decode()
    target.reading.answer_peer(request, path)
    headers = [(b"Content-Type", b"text/x"), (b"Date", b"now")]
    sent.answer(request.status, headers=headers, body=request.written)


def test_gateways_agree_on_the_reader_of_a_job(pair):
    for name in map(str, range(20)):
        is_first = pair[0].reading.find_reader(name) is None
        is_second = pair[1].reading.find_reader(name) is None
        assert is_first != is_second


def test_reader_answers_from_the_store(pair, submit, helpers, reactor):
    job = find_job(pair[0], is_read_here=True)
    submit(job)
    request = read(pair[0], helpers, reactor, job)
    assert (request.status, request.written) == (200, b"1:0:i1")
    assert pair[0].pool.sent == []


def test_read_is_forwarded_to_the_reader(pair, submit, helpers, reactor, wire):
    job = find_job(pair[0], is_read_here=False)
    submit(job)
    request = read(pair[0], helpers, reactor, job, wait_seconds=1.0)
    assert request.status is None
    deliver_to(pair[0], pair[1], helpers, reactor)
    assert (request.status, request.written) == (200, b"1:0:i1")
    # Only the reader has read the job from the store.
    assert list(pair[1].reading.views) == [job]
    assert pair[0].reading.views == {}


def test_identifier_with_special_characters_is_forwarded(
    pair, submit, helpers, reactor
):
    job = find_job(pair[0], is_read_here=False, prefix="a%2F/b c?d&")
    submit(job)
    request = read(pair[0], helpers, reactor, job)
    deliver_to(pair[0], pair[1], helpers, reactor)
    assert (request.status, request.written) == (200, b"1:0:i1")
    assert pair[0].reading.views == {}


def test_body_is_fetched_from_the_reader(pair, submit, helpers, reactor, run):
    job = find_job(pair[0], is_read_here=False)
    submit(job, name="a/b?c")
    request = helpers.build_request(reactor=reactor)
    defer.ensureDeferred(pair[0].reading.read_body(request, job, "a/b?c"))
    deliver_to(pair[0], pair[1], helpers, reactor)
    assert (request.status, request.written) == (200, b"B")


def test_the_wait_of_a_read_ends_before_the_process(
    pair, submit, helpers, reactor
):
    job = find_job(pair[0], is_read_here=False)
    submit(job)
    pair[0].drain()
    for elapsed, wait in ((1.0, 1.0), (6.5, 0.5), (7.3, 0.0)):
        now = pair[0].draining_since + elapsed
        reactor.advance(now - reactor.seconds())
        for peer in pair[0].peers.peers.values():
            receive_heartbeat(pair[0], peer, reactor)
        read(pair[0], helpers, reactor, job, wait_seconds=1.0)
        query = pair[0].pool.last.exchange.target.partition(b"wait=")[2]
        assert float(query) == pytest.approx(wait)


@pytest.mark.parametrize("fault", ["silent", "refuses", "unreachable"])
def test_store_is_read_when_the_reader_fails(
    pair, submit, helpers, reactor, fault
):
    job = find_job(pair[0], is_read_here=False)
    submit(job)
    if fault == "unreachable":
        pair[0].pool.unreachable.add(("10.0.0.1", 4))
    request = read(pair[0], helpers, reactor, job, wait_seconds=0.5)
    if fault == "refuses":
        pair[0].pool.last.answer(503)
    if fault == "silent":
        reactor.advance(1.0)
        assert request.status is None
        reactor.advance(0.2)
    assert (request.status, request.written) == (200, b"1:0:i1")


def test_job_unknown_to_the_reader_is_looked_up_in_the_store(
    pair, helpers, reactor
):
    job = find_job(pair[0], is_read_here=False)
    request = read(pair[0], helpers, reactor, job)
    deliver_to(pair[0], pair[1], helpers, reactor)
    (failure,) = request.ended
    assert failure.check(BatchNotFoundError)


@pytest.mark.parametrize(
    "state", [{"region": 7}, {"is_leaving": True}, {"reaches_store": False}]
)
def test_ineligible_peer_is_no_reader(pair, reactor, state):
    job = find_job(pair[0], is_read_here=False)
    (peer,) = pair[0].peers.list_live()
    receive_heartbeat(pair[0], peer, reactor, **state)
    assert pair[0].reading.find_reader(job) is None


@pytest.mark.parametrize("target", ["j?position=x&wait=0", "j", "j?wait=1"])
def test_malformed_forwarded_read_is_rejected(pair, helpers, reactor, target):
    request = helpers.build_request(reactor=reactor)
    pair[0].reading.answer_peer(request, target)
    assert request.status == 503


# Failure: a reader kept the identifiers of all results of the jobs that were
# read, however many, since only their outputs were counted.
def test_jobs_that_are_read_are_bounded_without_their_outputs(
    build_gateway, submit, run
):
    gateway = build_gateway(memory_bytes=160_000)
    most = 0
    for number in range(40):
        submit(f"j{number}")
        run(read_locally(gateway, f"j{number}"))
        most = max(most, len(gateway.reading.views))
    # Some 1,500 bytes each, of 20,000.
    assert 5 < most < 15


async def read_locally(gateway, identifier):
    view = await gateway.reading.find_view(identifier)
    await view.wait_for(0, seconds=0.0)
