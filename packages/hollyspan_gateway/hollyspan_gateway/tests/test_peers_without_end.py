"""Answers of other gateways that have no end."""

import types

import pytest
from twisted.internet import defer
from twisted.internet import task

from hollyspan_core.errors import StreamMalformedError
from hollyspan_gateway.http1 import PROBE
from hollyspan_gateway.online.forwarded import FAILURE_HEADER
from hollyspan_gateway.online.hop import Hop
from hollyspan_gateway.online.relay import Relay
from hollyspan_gateway.peers.calls import call_peer
from hollyspan_gateway.peers.calls import fetch_answer
from hollyspan_gateway.peers.snapshots import fetch_snapshot
from hollyspan_gateway.routes import RouteKind
from hollyspan_standins.memory import BytePool

READ_BYTES = 64 * 1024
HEAD = b"HTTP/1.1 200 OK\r\n"
CALLS = {
    "read": lambda pool, peer: fetch_answer(
        pool, peer, port=4, target="j", timeout_seconds=60.0
    ),
    "snapshot": lambda pool, peer: fetch_snapshot(
        pool, peer, port=4, name="upstreams"
    ),
    "probe": lambda pool, peer: call_peer(
        pool, peer, port=4, target=b"/x", timeout_seconds=60.0, kind=PROBE
    ),
}


def use_open_answers(pool):
    """Let a pool record its requests for the test to answer."""
    pool.answer = lambda connection, data: pool.requests.append(
        (connection, data)
    )
    return pool


def build_peer():
    return types.SimpleNamespace(
        identifier="p", address=("10.9.0.1", 1), is_live=lambda now: True
    )


def send_without_end(reactor, connection, head, part, *, parts=200):
    """Let a connection receive bytes until it is aborted.

    Returns
    -------
    int
        Bytes that it took.
    """
    connection.dataReceived(head)
    size = 0
    for _ in range(parts):
        if not connection.transport.is_aborted:
            connection.dataReceived(part)
            size += len(part)
            reactor.pump([0.005] * 20)
    return size


# Failure: a peer's answer was kept until the time of the call was over.
@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("name", CALLS)
def test_an_answer_without_end_fails_a_call_to_a_peer(name, is_chunked):
    pool = use_open_answers(BytePool(reactor=task.Clock()))
    results = []
    work = defer.ensureDeferred(CALLS[name](pool, build_peer()))
    work.addBoth(results.append)
    part = bytes(READ_BYTES)
    head = HEAD + b"Content-Length: 999999999999\r\n\r\n"
    if is_chunked:
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        part = b"%x\r\n%s\r\n" % (len(part), part)
    ((connection, _),) = pool.requests
    size = send_without_end(pool.reactor, connection, head, part)
    assert results == [None]
    assert size <= 9 * 1024 * 1024
    assert pool.intake.budget.kept == 0


# Failure: a peer's failure without end was kept until the deadline.
@pytest.mark.parametrize("kind", [RouteKind.STREAM, RouteKind.ONCE])
@pytest.mark.parametrize("has_failed", [False, True])
def test_an_answer_without_end_fails_a_hop(
    build_gateway, helpers, reactor, kind, has_failed
):
    route = helpers.build_route(kind=kind, is_resumable=False)
    gateway = build_gateway(routes=[route])
    pool = use_open_answers(BytePool(reactor=reactor))
    gateway.use_pool(pool)
    encode_headers = gateway.dialect.encode_headers
    gateway.dialect.encode_headers = lambda *values, **details: [
        (b"Host", b"h"),
        *encode_headers(*values, **details),
    ]
    relay = Relay(
        gateway=gateway,
        request=helpers.build_request(reactor=reactor),
        head=helpers.build_head(),
        route=route,
        service="m",
        body=b"body",
        deadline=reactor.seconds() + 60.0,
    )
    results = []
    work = defer.ensureDeferred(Hop(relay=relay, peer=build_peer()).run())
    work.addBoth(results.append)
    head = HEAD.replace(b"200 OK", b"503 No")
    if has_failed:
        head += FAILURE_HEADER + b": 1\r\n"
    head += b"id: q1\r\nContent-Length: 999999999999\r\n\r\n"
    ((connection, _),) = pool.requests
    size = send_without_end(
        reactor, connection, head, b"x" * READ_BYTES, parts=100
    )
    (failure,) = results
    assert isinstance(failure, StreamMalformedError)
    limit = 128 * 1024 if has_failed else 5 * 1024 * 1024
    assert size <= limit
    assert pool.intake.budget.kept == 0
