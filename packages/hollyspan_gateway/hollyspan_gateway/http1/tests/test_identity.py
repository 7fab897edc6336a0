"""Tests of answers that belong to another request, or name none."""

import pytest
from twisted.internet import defer
from twisted.internet import task

from hollyspan_core.errors import InvalidRequestError
from hollyspan_gateway.http1 import connection as module
from hollyspan_gateway.http1 import ConnectionPool
from hollyspan_gateway.http1 import pool as pool_module
from hollyspan_gateway.http1 import run_attempt
from hollyspan_gateway.http1.tests.test_connection import Transport

ADDRESS = ("10.0.0.1", 80)


def build_answer(identifier, *, status=b"200 OK", body=b"ab", headers=b""):
    name = b"" if identifier is None else b"Request-Id: %s\r\n" % identifier
    return b"HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n%s" % (
        status,
        name,
        headers,
        len(body),
        body,
    )


REFUSAL = b"503 Service Unavailable"


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
    return ConnectionPool(reactor=task.Clock())


class Attempt:
    """One attempt and what came of it."""

    def __init__(self, pool, identifier):
        self.statuses = []
        self.body = b""
        self.results = []
        defer.ensureDeferred(
            run_attempt(
                pool,
                address=ADDRESS,
                method=b"POST",
                target=b"/a",
                headers=[(b"Host", b"h"), (b"Request-Id", identifier)],
                body=b"x" * 100,
                on_reply=lambda status, headers: self.statuses.append(status),
                on_data=self.add,
                identifier=identifier.decode(),
                read_identifier=lambda headers: (
                    value.decode()
                    if (value := dict(headers).get(b"request-id"))
                    else None
                ),
            )
        ).addBoth(self.results.append)

    def add(self, data):
        self.body += data

    @property
    def code(self):
        """Code of its error."""
        (error,) = self.results
        return error.code


def test_an_answer_without_identifier_is_accepted_on_a_new_connection(
    pool, opened
):
    attempt = Attempt(pool, b"1")
    opened[0].dataReceived(build_answer(None))
    assert (attempt.statuses, attempt.results) == ([200], [None])


# Failure: a copy of an earlier refusal was taken as that of the next request,
# which the upstream was running.
def test_a_copy_without_identifier_is_no_answer_to_the_next_request(
    pool, opened
):
    first = Attempt(pool, b"1")
    opened[0].dataReceived(build_answer(b"1", status=REFUSAL))
    assert first.results == [None]
    second = Attempt(pool, b"2")
    assert len(opened) == 1
    opened[0].dataReceived(build_answer(None, status=REFUSAL))
    assert second.statuses == []
    assert second.code == "stream_malformed"
    assert opened[0].transport.is_aborted


# Failure: requests whose connection brought a late copy first were answered
# 502, though their own answer followed it.
@pytest.mark.parametrize("step", [1, 7, 10_000])
@pytest.mark.parametrize("copies", [1, 3])
def test_the_own_answer_is_read_behind_copies_of_earlier_ones(
    pool, opened, step, copies
):
    Attempt(pool, b"1")
    refusal = build_answer(b"1", status=REFUSAL)
    opened[0].dataReceived(refusal)
    second = Attempt(pool, b"2")
    content = refusal * copies + build_answer(b"2", body=b"own")
    for start in range(0, len(content), step):
        opened[0].dataReceived(content[start : start + step])
    assert (second.statuses, second.body) == ([200], b"own")
    assert second.results == [None]
    third = Attempt(pool, b"3")
    opened[0].dataReceived(build_answer(b"3", body=b"next"))
    assert (len(opened), third.body) == (1, b"next")


@pytest.mark.parametrize(
    "copies",
    [
        build_answer(b"1") * 4,
        build_answer(b"1", headers=b"Connection: close\r\n"),
        build_answer(b"1", body=b"x" * 1_000_001),
    ],
)
def test_an_attempt_fails_when_no_own_answer_can_be_expected(
    pool, opened, copies
):
    Attempt(pool, b"1")
    opened[0].dataReceived(build_answer(b"1"))
    second = Attempt(pool, b"2")
    opened[0].dataReceived(copies)
    # A megabyte is read over several turns of the loop.
    pool.reactor.pump([0.0] * 300)
    assert second.statuses == []
    assert second.code in (
        "answer_misplaced",
        "stream_lost",
        "stream_malformed",
    )
    assert opened[0].transport.is_aborted


def test_a_wrong_identifier_on_a_new_connection_is_an_error(pool, opened):
    attempt = Attempt(pool, b"1")
    opened[0].dataReceived(build_answer(b"0"))
    assert attempt.code == "answer_misplaced"


# Failure: the copy of an item's failure counted as a second one.
def test_a_request_that_comes_again_uses_another_connection(pool, opened):
    Attempt(pool, b"1")
    opened[0].dataReceived(build_answer(b"1", status=b"500 Error"))
    Attempt(pool, b"1")
    assert len(opened) == 2
    opened[1].dataReceived(build_answer(b"1"))
    assert Attempt(pool, b"2").results == []
    assert len(opened) == 2


# Failure: a request that HTTP does not allow to be sent ended with an untyped
# error, and its connection was never used again or closed.
def test_a_request_that_cannot_be_sent_is_invalid(pool, opened):
    attempt = Attempt(pool, b"1\r\n")
    (result,) = attempt.results
    assert result.check(InvalidRequestError)
    assert opened[0].transport.is_aborted
    assert opened[0].transport.value() == b""


def test_copies_are_counted_for_each_request(pool, opened):
    Attempt(pool, b"0")
    opened[0].dataReceived(build_answer(b"0"))
    for identifier in (b"1", b"2"):
        attempt = Attempt(pool, identifier)
        opened[0].dataReceived(build_answer(b"0") * 3)
        opened[0].dataReceived(build_answer(identifier))
        assert attempt.results == [None]
    assert len(opened) == 1
