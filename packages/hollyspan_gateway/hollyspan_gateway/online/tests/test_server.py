"""Tests of the bounds on clients of the server."""

import contextlib
import types

import pytest
from twisted.internet import error
from twisted.internet import task
from twisted.internet.testing import StringTransport
from twisted.python import failure

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import OverloadedError
from hollyspan_gateway.intake import ServedIntake
from hollyspan_gateway.online.server import ClientSite

BODY_LIMIT = 100_000
IDLE_S = 10.0
HEADER_S = 3.0
# Bytes that a transport keeps before it pauses its producer.
TRANSPORT_BUFFER_BYTES = 65536
BLOCK = bytes(TRANSPORT_BUFFER_BYTES)
REQUEST = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
CHUNKED = (
    b"POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: q1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
MIB = 1024 * 1024


class Transport(StringTransport):
    """Transport of a client that reads when told."""

    def __init__(self):
        super().__init__()
        self.is_aborted = False
        self.is_full = False

    def setTcpNoDelay(self, value):
        pass

    def write(self, data):
        super().write(data)
        is_full = len(self.value()) > TRANSPORT_BUFFER_BYTES
        if is_full and not self.is_full and self.producer is not None:
            self.is_full = True
            self.producer.pauseProducing()

    def writeSequence(self, parts):
        self.write(b"".join(parts))

    def read(self):
        """Return what was written, as to a client that reads it."""
        found = self.value()
        self.clear()
        if self.is_full:
            self.is_full = False
            self.producer.resumeProducing()
        return found

    def abortConnection(self):
        self.is_aborted = True
        self.protocol.connectionLost(
            failure.Failure(error.ConnectionAborted())
        )


class Server:
    """Server whose requests are kept until a test answers them."""

    def __init__(self, **limits):
        self.clock = task.Clock()
        self.requests = []
        self.site = ClientSite(
            reactor=self.clock,
            handle=self.requests.append,
            body_limit=BODY_LIMIT,
            idle_seconds=IDLE_S,
        )
        self.site.apply_limits(
            types.SimpleNamespace(
                body_bytes=BODY_LIMIT,
                header_bytes=30_000,
                header_seconds=HEADER_S,
                idle_seconds=IDLE_S,
            )
        )
        self.room_bytes = 0
        if limits:
            self.site.intake = ServedIntake(reactor=self.clock, **limits)

    def connect(self):
        """Return the channel and the transport of a new client."""
        channel = self.site.buildProtocol(None)
        if channel is None:
            return None, None
        transport = Transport()
        transport.protocol = channel
        channel.makeConnection(transport)
        return channel, transport

    def open_stream(self):
        """Return the request and the transport of a client of a stream."""
        channel, transport = self.connect()
        channel.dataReceived(REQUEST % 1)
        request = self.requests.pop()
        request.begin(200, [])
        return request, transport

    def bound_jobs(self, limit):
        """Hold room for the bodies of requests below /b/."""

        @contextlib.contextmanager
        def hold(size):
            if self.room_bytes + size > limit:
                raise OverloadedError("full", outcome=Outcome.NOT_RUN)
            self.room_bytes += size
            yield
            self.room_bytes -= size

        self.site.find_room = lambda host, path: (
            hold if (host, path) == ("h", "/b/") else None
        )

    def take_turn(self):
        """Run the calls that are due now, not those that they plan."""
        now = self.clock.seconds()
        for call in [c for c in self.clock.calls if c.getTime() <= now]:
            self.clock.calls.remove(call)
            call.called = 1
            call.func(*call.args, **call.kw)

    def settle(self, turns=1000):
        self.clock.pump([0.0] * turns)


def split_into_chunks(data, size):
    """Return a body in chunks."""
    pieces = [data[at : at + size] for at in range(0, len(data), size)]
    chunks = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces]
    return b"".join([*chunks, b"0\r\n\r\n"])


# Failure: all events of a stream whose client did not read were kept.
def test_a_client_that_does_not_read_a_stream_is_broken_off():
    server = Server()
    request, transport = server.open_stream()
    disconnects = []
    request.on_disconnect = lambda: disconnects.append(1)
    for _ in range(100):
        if request.is_open:
            request.write(BLOCK)
    assert transport.is_aborted
    assert len(transport.value()) < 2 * MIB
    assert disconnects == [1]
    assert not server.site.intake.all_unsent_bytes


def test_a_client_that_reads_late_gets_the_whole_stream():
    server = Server()
    request, transport = server.open_stream()
    received = 0
    for _ in range(20):
        for _ in range(8):
            request.write(BLOCK)
        received += len(transport.read())
    request.end()
    received += len(transport.read())
    assert not transport.is_aborted
    assert received > 160 * len(BLOCK)


def test_a_long_answer_is_kept_whole():
    server = Server()
    channel, transport = server.connect()
    channel.dataReceived(REQUEST % 1)
    body = bytes(4 * MIB)
    server.requests[0].answer(200, [], body)
    assert not transport.is_aborted
    assert transport.read().endswith(body)
    channel.dataReceived(REQUEST % 2)
    server.settle()
    server.requests[1].answer(200, [], b"next")
    assert transport.read().endswith(b"next")


# Failure: the answers of many clients that did not read had no bound together.
def test_the_client_that_reads_least_is_broken_off():
    server = Server(max_all_unsent_bytes=MIB)
    streams = [server.open_stream() for _ in range(4)]
    for number, (request, _) in enumerate(streams):
        for _ in range(2 + number):
            request.write(BLOCK)
    for request, _ in streams[:2]:
        request.write(BLOCK)
    request, transport = streams[3]
    assert [each.is_aborted for _, each in streams] == [False] * 3 + [True]
    assert server.site.intake.all_unsent_bytes <= MIB


# Failure: pipelined requests were answered though nothing was read.
def test_pipelined_requests_wait_until_answers_are_read():
    server = Server()
    channel, transport = server.connect()
    server.site.handle = lambda request: (
        server.requests.append(request),
        request.answer(200, [], bytes(MIB)),
    )
    channel.dataReceived(b"".join(REQUEST % n for n in range(20)))
    server.settle()
    assert len(server.requests) == 1
    for number in range(1, 20):
        transport.read()
        server.settle()
        assert len(server.requests) == number + 1
    assert [each.uri for each in server.requests] == [
        b"/%d" % number for number in range(20)
    ]


# Failure: all pipelined requests of one read were handled in one turn.
def test_each_pipelined_request_has_its_turn():
    server = Server()
    channel, transport = server.connect()
    server.site.handle = lambda request: (
        server.requests.append(request),
        request.answer(200, [], b"%d" % len(server.requests)),
    )
    channel.dataReceived(b"".join(REQUEST % n for n in range(50)))
    assert len(server.requests) == 1
    server.clock.pump([0.01] * 200)
    assert len(server.requests) == 50
    assert transport.value().count(b"200 OK") == 50


# Failure: the rest of a slice was parsed behind the slices that followed it.
def test_pipelined_requests_longer_than_a_slice_keep_their_order():
    server = Server()
    channel, transport = server.connect()
    server.site.handle = lambda request: (
        server.requests.append(request),
        request.answer(200, [], b"%d" % len(server.requests)),
    )
    body = bytes(3000)
    head = b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n"
    channel.dataReceived(b"".join(head % n + body for n in range(20)))
    server.settle(5000)
    assert [each.uri for each in server.requests] == [
        b"/%d" % number for number in range(20)
    ]
    assert not channel.turns.pending_bytes
    assert transport.producerState == "producing"


# Failure: a read of 64 kB in chunks of one byte was parsed in one turn.
def test_a_body_in_small_chunks_is_read_in_turns():
    server = Server()
    channel, transport = server.connect()
    body = bytes(10_000)
    channel.dataReceived(CHUNKED)
    channel.dataReceived(split_into_chunks(body, 1))
    assert transport.producerState == "paused"
    assert channel.requests[0].body_bytes < 2000
    server.clock.pump([0.01] * 1000)
    (request,) = server.requests
    assert request.content.getvalue() == body
    assert transport.producerState == "producing"


def test_bodies_of_all_kinds_arrive_whole():
    server = Server()
    body = bytes(range(256)) * (BODY_LIMIT // 256)
    for data in (
        CHUNKED + split_into_chunks(body, 1000),
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s"
        % (len(body), body),
    ):
        channel, _ = server.connect()
        for at in range(0, len(data), 65536):
            channel.dataReceived(data[at : at + 65536])
            server.settle(200)
        request = server.requests.pop()
        assert request.content.getvalue() == body
        assert not request.is_too_large
        request.answer(200, [], b"")
    assert not server.site.intake.bodies.kept


def test_a_body_over_its_limit_is_told_to_its_handler():
    server = Server()
    channel, _ = server.connect()
    channel.dataReceived(CHUNKED)
    channel.dataReceived(split_into_chunks(bytes(BODY_LIMIT + 1), 5000))
    server.settle()
    assert server.requests[0].is_too_large


# Failure: the excess of a body without end was read without end.
@pytest.mark.parametrize(
    ("head", "block"),
    [
        (CHUNKED, b"10000\r\n%s\r\n" % BLOCK),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\n"
            b"Content-Length: 10000000000000\r\n\r\n",
            BLOCK,
        ),
    ],
)
def test_a_body_without_end_is_refused(head, block):
    server = Server()
    channel, transport = server.connect()
    channel.dataReceived(head)
    sent = 0
    while not transport.disconnecting and sent < 10 * MIB:
        channel.dataReceived(block)
        server.settle(100)
        sent += len(block)
    assert transport.value().startswith(b"HTTP/1.1 413 ")
    assert sent < 2 * MIB
    assert not server.requests
    channel.connectionLost(failure.Failure(error.ConnectionDone()))
    assert not server.site.intake.bodies.kept


# Failure: the bodies of all connections had no bound together.
def test_bodies_that_exceed_their_limit_together_are_not_run():
    server = Server(max_all_body_bytes=BODY_LIMIT)
    clients = [server.connect() for _ in range(3)]
    head = (
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        % BODY_LIMIT
    )
    for channel, _ in clients:
        channel.dataReceived(head)
        channel.dataReceived(bytes(BODY_LIMIT * 2 // 5))
    refused = [each.value()[:13] for _, each in clients if each.value()]
    assert refused == [b"HTTP/1.1 503 "]
    assert server.site.intake.bodies.kept <= BODY_LIMIT


# Failure: a few clients that stopped in the middle of long bodies made the
# gateway refuse the short bodies of all others.
def test_a_short_body_is_taken_beside_long_ones_that_stall():
    server = Server(max_all_body_bytes=BODY_LIMIT)
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    for _ in range(2):
        channel, _ = server.connect()
        channel.dataReceived(head % BODY_LIMIT)
        channel.dataReceived(bytes(BODY_LIMIT // 2))
    channel, transport = server.connect()
    channel.dataReceived(head % 1000 + bytes(1000))
    assert not transport.value()
    (request,) = server.requests
    assert request.content.getvalue() == bytes(1000)
    assert server.site.intake.bodies.kept <= BODY_LIMIT


# Failure: each byte of a head or a body prolonged the wait for the rest.
@pytest.mark.parametrize("has_body", [False, True])
def test_a_request_that_trickles_is_refused(has_body):
    server = Server()
    channel, transport = server.connect()
    data = b"GET / HTTP/1.1\r\nHost: h\r\nTrickle: "
    if has_body:
        data = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999\r\n\r\n"
    channel.dataReceived(data)
    seconds = 0.0
    while not transport.disconnecting and seconds < 100.0:
        channel.dataReceived(b"x")
        server.clock.advance(0.5)
        seconds += 0.5
    assert transport.value().startswith(b"HTTP/1.1 408 ")
    assert HEADER_S <= seconds <= 2 * HEADER_S
    assert not server.requests


def test_a_request_in_time_is_not_refused():
    server = Server()
    channel, transport = server.connect()
    for piece in (b"POST / HTTP/1.1\r\n", b"Host: h\r\n"):
        channel.dataReceived(piece)
        server.clock.advance(HEADER_S / 3)
    channel.dataReceived(b"Content-Length: 4\r\n\r\n")
    for _ in range(4):
        server.clock.advance(HEADER_S / 4 - 0.01)
        channel.dataReceived(b"x")
    server.requests[0].answer(200, [], b"")
    server.clock.advance(HEADER_S + 1.0)
    assert not transport.disconnecting


# Failure: a line of a head that the configuration allows closed the
# connection.
def test_a_line_may_be_as_long_as_a_head():
    server = Server()
    channel, _ = server.connect()
    line = b"Long: " + b"x" * 25_000
    channel.dataReceived(b"GET / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n" % line)
    server.settle()
    assert len(server.requests) == 1


# Failure: clients could open connections until no descriptor was left.
def test_an_idle_connection_is_closed_for_a_new_one():
    server = Server()
    server.site.max_connections = 3
    clients = []
    for _ in range(3):
        clients.append(server.connect())
        server.clock.advance(1.0)
    clients[0][0].dataReceived(REQUEST % 1)
    server.connect()
    assert [each.disconnecting for _, each in clients] == [False, True, False]


def test_no_connection_is_accepted_when_all_have_requests():
    server = Server()
    server.site.max_connections = 3
    for _ in range(3):
        channel, _ = server.connect()
        channel.dataReceived(REQUEST % 1)
    assert server.connect() == (None, None)


# Failure: what a client sent while it read no answer was kept without end.
@pytest.mark.parametrize("is_ended", [False, True])
def test_a_client_that_sends_but_does_not_read_is_not_read(is_ended):
    server = Server()
    request, transport = server.open_stream()
    request.write(BLOCK + BLOCK)
    if is_ended:
        request.end()
    channel = transport.protocol
    sent = 0
    while transport.producerState == "producing" and sent < 10 * MIB:
        channel.dataReceived(BLOCK)
        server.settle(100)
        sent += len(BLOCK)
    assert sent < MIB
    transport.read()
    if not is_ended:
        assert transport.producerState == "paused"
        request.end()
    server.settle()
    assert transport.disconnecting or transport.producerState == "producing"


def test_requests_behind_an_answer_that_is_read_late_are_handled():
    server = Server()
    request, transport = server.open_stream()
    request.write(BLOCK + BLOCK)
    channel = transport.protocol
    data = b"".join(REQUEST % n for n in range(2, 1002))
    channel.dataReceived(data)
    server.settle()
    assert transport.producerState == "paused"
    request.end()
    server.site.handle = lambda request: (
        server.requests.append(request),
        request.answer(200, [], b"x"),
    )
    transport.read()
    for _ in range(200):
        server.settle(20)
        transport.read()
    assert [each.uri for each in server.requests] == [
        b"/%d" % number for number in range(2, 1002)
    ]
    assert transport.producerState == "producing"


JOB = b"POST /b/?x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
JOB_BYTES = 90_000


# Failure: jobs that arrived together took all the room of online requests,
# and more memory than their process had.
def test_jobs_that_arrive_are_bounded_apart_from_all_others():
    server = Server(max_all_body_bytes=BODY_LIMIT)
    server.bound_jobs(2 * JOB_BYTES)
    jobs = [server.connect() for _ in range(10)]
    for channel, _ in jobs:
        channel.dataReceived(JOB % JOB_BYTES + bytes(JOB_BYTES - 1))
    server.settle()
    kept = [len(c.requests[0].content.getvalue()) for c, _ in jobs]
    assert kept == [JOB_BYTES - 1] * 2 + [0] * 8
    assert not server.site.intake.bodies.kept
    other, transport = server.connect()
    other.dataReceived(
        (JOB % BODY_LIMIT).replace(b"/b/", b"/o/") + bytes(BODY_LIMIT)
    )
    server.settle()
    assert not transport.value()
    for channel, _ in jobs:
        channel.dataReceived(b"x")
    server.settle()
    refusals = [each.refusal for each in server.requests]
    assert refusals[:3] == [None] * 3
    assert {(each.status, each.outcome) for each in refusals[3:]} == {
        (503, Outcome.NOT_RUN)
    }
    assert server.room_bytes == 2 * JOB_BYTES
    # One hands its room over, the other one is answered.
    with server.requests[1].take_room():
        server.requests[1].answer(202, [], b"")
        server.requests[2].answer(202, [], b"")
        assert server.room_bytes == JOB_BYTES
    assert server.room_bytes == 0


@pytest.mark.parametrize("head", [JOB % JOB_BYTES, CHUNKED])
def test_a_job_that_is_broken_off_frees_its_room(head):
    server = Server()
    server.bound_jobs(BODY_LIMIT)
    channel, _ = server.connect()
    channel.dataReceived(head.replace(b" / ", b" /b/ "))
    assert server.room_bytes >= JOB_BYTES
    channel.connectionLost(failure.Failure(error.ConnectionDone()))
    assert server.room_bytes == 0


def test_a_job_over_the_limit_on_bodies_takes_room_for_none_more():
    server = Server()
    server.bound_jobs(BODY_LIMIT)
    channel, _ = server.connect()
    channel.dataReceived(JOB % (BODY_LIMIT + 1) + bytes(BODY_LIMIT + 1))
    server.settle()
    assert server.requests[0].is_too_large
    assert server.room_bytes == BODY_LIMIT


def answer(request):
    request.answer(200, [], b"whole")


# Failure: a whole request behind a streamed answer got no answer at a stop.
def test_requests_behind_a_stream_are_answered_at_a_stop():
    server = Server()
    request, transport = server.open_stream()
    request.write(b"part")
    server.site.handle = answer
    transport.protocol.dataReceived(REQUEST % 2 + REQUEST % 3)
    server.site.begin_closing()
    server.site.close_idle()
    request.end()
    server.clock.pump([1.0] * 9)
    written = transport.value()
    assert written.count(b"HTTP/1.1 200 OK\r\n") == 3
    assert written.count(b"Connection: close\r\n") == 1
    assert transport.disconnecting


# Failure: a whole request behind the answer that a stop had made the last one
# got neither an answer nor a refusal.
def test_requests_behind_the_last_answer_are_refused_at_a_stop():
    server = Server()
    server.site.begin_closing()
    request, transport = server.open_stream()
    request.write(b"part")
    transport.protocol.dataReceived(REQUEST % 2 + REQUEST % 3)
    request.end()
    server.settle()
    written = transport.value()
    assert not server.requests
    assert written.count(b"HTTP/1.1 200 OK\r\n") == 1
    assert written.count(b"HTTP/1.1 503 ") == 2
    assert written.count(b"\r\nRetry-After: ") == 2
    assert transport.disconnecting


# Failure: requests that waited for their turn were dropped at a stop.
@pytest.mark.parametrize("turns", range(6))
def test_requests_that_wait_for_their_turn_are_answered_at_a_stop(turns):
    server = Server()
    channel, transport = server.connect()
    server.site.handle = answer
    server.clock.advance(1.0)
    channel.dataReceived(b"".join(REQUEST % n for n in range(300)))
    for _ in range(turns):
        server.take_turn()
    while not transport.disconnecting:
        server.site.close_idle()
        server.take_turn()
    assert transport.value().count(b"HTTP/1.1 200 OK\r\n") == 300


# Failure: requests that waited for their turn were dropped for a new client.
def test_requests_that_wait_are_answered_beside_too_many_connections():
    server = Server()
    server.site.max_connections = 1
    server.site.handle = answer
    channel, transport = server.connect()
    channel.dataReceived(b"".join(REQUEST % n for n in range(3000)))
    while channel.requests:
        server.take_turn()
    assert server.connect() == (None, None)
    answered = 0
    for _ in range(20):
        answered += transport.read().count(b"HTTP/1.1 200 OK\r\n")
        server.clock.advance(0.1)
    assert answered == 3000
