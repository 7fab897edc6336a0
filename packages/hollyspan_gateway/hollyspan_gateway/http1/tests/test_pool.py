"""Tests of how long idle connections are used again."""

import pytest
from twisted.internet import defer
from twisted.internet import task

from hollyspan_gateway.http1 import connection as module
from hollyspan_gateway.http1 import ConnectionPool
from hollyspan_gateway.http1 import pool as pool_module
from hollyspan_gateway.http1 import run_attempt
from hollyspan_gateway.http1.tests.test_connection import Transport

ADDRESS = ("10.0.0.1", 80)
MAX_IDLE_S = 0.5
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
ANSWER_WITH_TIMEOUT = (
    b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\n"
    b"Content-Length: 0\r\n\r\n"
)


@pytest.fixture
def opened(monkeypatch):
    """Connections opened by the pool, in order."""
    connections = []

    def connect(reactor, host, port, *, timeout, source_ip=None, intake):
        connection = module.ClientConnection(
            reactor=reactor, opened=defer.Deferred(), intake=intake
        )
        connection.makeConnection(Transport())
        connections.append(connection)
        return defer.succeed(connection)

    monkeypatch.setattr(module, "set_keepalive", lambda handle: None)
    monkeypatch.setattr(pool_module, "connect", connect)
    return connections


@pytest.fixture
def pool():
    return ConnectionPool(reactor=task.Clock(), max_idle_seconds=MAX_IDLE_S)


def send(pool):
    defer.ensureDeferred(
        run_attempt(
            pool,
            address=ADDRESS,
            method=b"GET",
            target=b"/a",
            headers=[(b"Host", b"h")],
            body=b"",
            on_reply=lambda status, headers: None,
            on_data=lambda data: None,
        )
    )


@pytest.mark.parametrize("answer", [ANSWER, ANSWER_WITH_TIMEOUT])
def test_a_connection_is_used_again_soon_after_each_answer(
    pool, opened, answer
):
    for _ in range(5):
        send(pool)
        pool.reactor.advance(10 * MAX_IDLE_S)
        opened[0].dataReceived(answer)
        pool.reactor.advance(0.9 * MAX_IDLE_S)
    assert len(opened) == 1


@pytest.mark.parametrize("answer", [ANSWER, ANSWER_WITH_TIMEOUT])
def test_a_connection_without_an_answer_of_late_is_not_used_again(
    pool, opened, answer
):
    send(pool)
    opened[0].dataReceived(answer)
    pool.reactor.advance(1.1 * MAX_IDLE_S)
    send(pool)
    assert len(opened) == 2


def test_without_a_limit_idle_connections_are_kept(opened):
    pool = ConnectionPool(reactor=task.Clock())
    send(pool)
    opened[0].dataReceived(ANSWER)
    pool.reactor.advance(1000 * MAX_IDLE_S)
    send(pool)
    assert len(opened) == 1
