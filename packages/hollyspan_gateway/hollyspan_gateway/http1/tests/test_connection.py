"""Tests of well-formed and malformed answers on a client connection."""

import pytest
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.internet.testing import StringTransport
from twisted.python import failure

from hollyspan_core.errors import Outcome
from hollyspan_gateway.http1 import body as long_bodies
from hollyspan_gateway.http1 import ClientConnection
from hollyspan_gateway.http1 import connection as module
from hollyspan_gateway.http1 import ConnectionPool
from hollyspan_gateway.http1 import Exchange
from hollyspan_gateway.http1 import PiecedBody
from hollyspan_gateway.http1 import run_attempt

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
WHOLE = HEAD + b"Content-Length: 2\r\n\r\nab"


class Transport(StringTransport):
    """Transport that records whether it was aborted."""

    def __init__(self):
        super().__init__()
        self.is_aborted = False

    def setTcpNoDelay(self, enabled):
        pass

    def getHandle(self):
        return None

    def abortConnection(self):
        self.is_aborted = True


class Answer:
    """Records the callbacks of an exchange."""

    def __init__(self):
        self.status = None
        self.body = b""
        self.ends = 0
        self.failures = []

    def build_exchange(self, body=b"x"):
        return Exchange(
            method=b"POST",
            target=b"/a",
            headers=[(b"Host", b"h")],
            body=body,
            on_head=self.handle_head,
            on_data=self.handle_data,
            on_end=self.handle_end,
            on_failure=self.failures.append,
        )

    def handle_head(self, status, headers):
        self.status = status

    def handle_data(self, data):
        self.body += data

    def handle_end(self):
        self.ends += 1


@pytest.fixture
def opened(monkeypatch):
    monkeypatch.setattr(module, "set_keepalive", lambda handle: None)
    clock = task.Clock()
    connection = ClientConnection(reactor=clock, opened=defer.Deferred())
    connection.makeConnection(Transport())
    connection.clock = clock
    return connection


def lose(connection, reason):
    connection.connectionLost(failure.Failure(reason))


def test_a_complete_answer_leaves_the_connection_usable(opened):
    freed = []
    opened.on_free = freed.append
    answer = Answer()
    opened.send(answer.build_exchange())
    opened.dataReceived(WHOLE)
    assert (answer.status, answer.body, answer.ends) == (200, b"ab", 1)
    assert freed == [opened]
    assert opened.is_usable()


# Failure: a long body was copied several times, and kept until it was sent.
@pytest.mark.parametrize("is_made_while_sent", [False, True])
def test_a_long_body_is_written_piece_by_piece(opened, is_made_while_sent):
    pieces = [bytes([number]) * 50_000 for number in range(20)]
    made = []
    body = b"".join(pieces)
    if is_made_while_sent:
        body = PiecedBody(
            size=len(body),
            generate=lambda: (made.append(1) or piece for piece in pieces),
        )
    answer = Answer()
    opened.send(answer.build_exchange(body))
    written = []
    while opened.is_sending:
        opened.transport.producer.resumeProducing()
        written.append(opened.transport.value())
        opened.transport.clear()
        assert len(made) * 50_000 <= sum(map(len, written)) + 100_000
    head, separator, start = written[0].partition(b"\r\n\r\n")
    assert b"Content-Length: 1000000" in head
    assert start + b"".join(written[1:]) == b"".join(pieces)
    assert max(map(len, written)) <= long_bodies.LONG_BODY_BYTES + len(
        head + separator
    )
    assert opened.transport.producer is None
    opened.dataReceived(WHOLE)
    assert answer.ends == 1
    assert opened.is_usable()


def test_an_answer_before_the_end_of_a_body_closes_the_connection(opened):
    answer = Answer()
    opened.send(answer.build_exchange(bytes(3 * long_bodies.LONG_BODY_BYTES)))
    opened.transport.producer.resumeProducing()
    opened.dataReceived(WHOLE)
    assert (answer.ends, opened.transport.is_aborted) == (1, True)
    assert not opened.is_usable()
    opened.transport.producer.stopProducing()
    assert not opened.is_sending


def test_bytes_after_an_answer_close_the_connection(opened):
    freed = []
    opened.on_free = freed.append
    answer = Answer()
    opened.send(answer.build_exchange())
    opened.dataReceived(WHOLE + WHOLE)
    assert (answer.body, answer.ends) == (b"ab", 1)
    assert freed == []
    assert not opened.is_usable()


def test_unsolicited_bytes_close_the_connection(opened):
    answer = Answer()
    opened.send(answer.build_exchange())
    opened.dataReceived(WHOLE)
    opened.dataReceived(WHOLE)
    assert opened.transport.is_aborted
    assert not opened.is_usable()


def test_an_answer_without_a_length_ends_with_a_clean_close(opened):
    answer = Answer()
    opened.send(answer.build_exchange())
    opened.dataReceived(HEAD + b"\r\nab")
    lose(opened, error.ConnectionDone())
    assert (answer.body, answer.ends, answer.failures) == (b"ab", 1, [])


def test_an_answer_without_a_length_fails_when_reset(opened):
    answer = Answer()
    opened.send(answer.build_exchange())
    opened.dataReceived(HEAD + b"\r\nab")
    lose(opened, error.ConnectionLost())
    assert answer.ends == 0
    assert answer.failures[0].code == "stream_lost"


def test_an_answer_shorter_than_its_length_fails(opened):
    answer = Answer()
    opened.send(answer.build_exchange())
    opened.dataReceived(WHOLE[:-1])
    lose(opened, error.ConnectionDone())
    assert answer.ends == 0
    # The upstream has closed the connection; what it sent is well-formed.
    assert [each.code for each in answer.failures] == ["stream_lost"]


def test_a_connection_closed_before_the_head_is_lost(opened):
    answer = Answer()
    opened.send(answer.build_exchange())
    lose(opened, error.ConnectionDone())
    assert [each.code for each in answer.failures] == ["stream_lost"]


def test_bytes_that_are_not_http_are_a_failure(opened):
    answer = Answer()
    opened.send(answer.build_exchange())
    opened.dataReceived(b"what is this\r\n\r\n")
    assert answer.failures[0].code == "stream_malformed"
    assert opened.transport.is_aborted


def test_a_cancelled_exchange_gets_no_more_callbacks(opened):
    answer = Answer()
    opened.send(answer.build_exchange())
    opened.cancel()
    lose(opened, error.ConnectionLost())
    assert answer.failures == []
    assert opened.transport.is_aborted


def test_a_connection_is_not_reused_near_its_idle_timeout(opened):
    opened.send(Answer().build_exchange())
    opened.dataReceived(
        HEAD + b"Keep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n"
    )
    assert opened.is_usable()
    opened.clock.advance(1.6)
    assert not opened.is_usable()


def test_connection_close_is_respected(opened):
    opened.send(Answer().build_exchange())
    opened.dataReceived(
        HEAD + b"Connection: close\r\nContent-Length: 0\r\n\r\n"
    )
    assert not opened.is_usable()


def test_a_head_without_end_is_a_failure(opened):
    answer = Answer()
    opened.send(answer.build_exchange())
    opened.dataReceived(HEAD)
    for _ in range(64):
        if not opened.transport.is_aborted:
            opened.dataReceived(b"x" * 1024)
    assert opened.transport.is_aborted
    assert [each.code for each in answer.failures] == ["stream_malformed"]


@pytest.mark.parametrize(
    "reason", [error.ConnectionDone(), error.ConnectionLost()]
)
def test_a_connection_that_is_closed_at_once_does_not_hold(reason):
    clock = task.Clock()
    connection = module.ClientConnection(
        reactor=clock, opened=defer.Deferred()
    )
    work = defer.ensureDeferred(connection.hold(0.1))
    clock.advance(0.01)
    connection.connectionLost(failure.Failure(reason))
    found = []
    work.addErrback(lambda each: found.append(each.value.outcome))
    assert found == [Outcome.NOT_RUN]
    assert not clock.getDelayedCalls()


def test_a_connection_that_stays_open_holds():
    clock = task.Clock()
    connection = module.ClientConnection(
        reactor=clock, opened=defer.Deferred()
    )
    found = []
    defer.ensureDeferred(connection.hold(0.1)).addCallback(found.append)
    clock.advance(0.05)
    assert not found
    clock.advance(0.06)
    assert found == [None]


class HoldingPool(ConnectionPool):
    """Pool whose new connections have to hold.

    Attributes
    ----------
    connections : list of ClientConnection
    """

    __slots__ = ("connections",)

    def __init__(self, *, reactor):
        super().__init__(reactor=reactor)
        self.connections = []
        self.must_hold = lambda address: True

    def connect(self, address, *, timeout):
        connection = ClientConnection(
            reactor=self.reactor, opened=defer.Deferred()
        )
        connection.transport = Transport()
        self.connections.append(connection)
        return defer.succeed(connection)


# Failure: a request whose client had left, or whose deadline had passed, was
# sent after the wait.
@pytest.mark.parametrize("has_timeout", [False, True])
def test_a_request_that_is_ended_while_a_connection_holds_is_not_sent(
    has_timeout,
):
    clock = task.Clock()
    pool = HoldingPool(reactor=clock)
    answer = Answer()
    work = defer.ensureDeferred(
        run_attempt(
            pool,
            address=("10.0.0.1", 80),
            method=b"POST",
            target=b"/",
            headers=[(b"Host", b"h")],
            body=b"",
            on_reply=answer.handle_head,
            on_data=answer.handle_data,
        )
    )
    failures = []
    if has_timeout:
        work.addTimeout(0.05, clock)
    work.addErrback(failures.append)
    clock.advance(0.05)
    if not has_timeout:
        work.cancel()
    clock.advance(1.0)
    assert len(failures) == 1
    (connection,) = pool.connections
    assert not connection.transport.value()
    assert connection.transport.is_aborted
    assert not clock.getDelayedCalls()


def test_a_pool_tells_which_idle_connections_the_other_end_has_closed():
    clock = task.Clock()
    pool = HoldingPool(reactor=clock)
    closed = []
    pool.on_idle_lost = closed.append
    for port in range(3):
        defer.ensureDeferred(
            pool.open_idle(("10.0.0.1", port), hold_seconds=0.0)
        )
    clock.advance(0.2)
    first, second, third = pool.connections
    first.connectionLost(failure.Failure(error.ConnectionDone()))
    assert closed == [("10.0.0.1", 0)]
    # This end closes the next one, and the last one carries a request.
    pool.drop_address(("10.0.0.1", 1))
    second.connectionLost(failure.Failure(error.ConnectionDone()))
    defer.ensureDeferred(pool.acquire(("10.0.0.1", 2)))
    third.connectionLost(failure.Failure(error.ConnectionDone()))
    assert closed == [("10.0.0.1", 0)]
