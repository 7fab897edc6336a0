"""Tests of what holds for requests beside planned stops of gateways."""

import random
import types

import pytest
from twisted.internet import defer

from hollyspan_gateway.daemon import answer_internal
from hollyspan_gateway.daemon import refuse_late
from hollyspan_gateway.routes import RouteKind
from hollyspan_gateway.shutdown import Shutdown
from hollyspan_standins.memory import build_route
from hollyspan_standins.memory import build_table
from hollyspan_standins.memory import LinkState
from hollyspan_standins.memory import MemoryRequest

ONCE = build_route(kind=RouteKind.STREAM, is_resumable=False)
# The requests of the fleet in memory have a time limit of 5 s; with this
# grace period one that was taken before the stop may outlast it.
SHORT_GRACE_S = 3.0
# Between the end of the last work and the forced kill.
KILL_MARGIN_S = 0.4


class Site:
    """Connections of the clients of one gateway, one for each request."""

    def __init__(self):
        self.requests = []

    @property
    def channels(self):
        return [request for request in self.requests if request.is_open]

    def begin_closing(self):
        """Close nothing: each connection has one request."""

    def close_idle(self):
        """Close nothing: each connection has one request."""


class Process:
    """Process of a gateway that is stopped, or killed after its grace.

    Attributes
    ----------
    exited_at : float or None
    """

    def __init__(self, *, fleet, number, grace_seconds=8.0):
        self.fleet = fleet
        self.number = number
        self.gateway = fleet.gateways[number]
        self.gateway.settings.grace_seconds = grace_seconds
        self.gateway.site = self.site = Site()
        self.started_at = None
        self.exited_at = None

    def send(self, name, **options):
        request = self.fleet.request(name, gateway=self.gateway, **options)
        self.site.requests.append(request)
        return request

    def terminate(self):
        """Do what SIGTERM does."""
        self.started_at = self.fleet.reactor.seconds()
        self.shutdown = Shutdown(reactor=self, gateway=self.gateway)
        self.shutdown.begin()

    def callLater(self, seconds, function):
        if self.exited_at is None:
            self.fleet.reactor.callLater(seconds, function)

    def seconds(self):
        return self.fleet.reactor.seconds()

    def stop(self):
        """End the process."""
        assert self.exited_at is None
        self.exited_at = self.seconds()
        # A process that is gone answers nothing.
        for request in self.site.channels:
            request.is_open = False
            request.on_disconnect()
        self.fleet.kill_gateway(self.number)


@pytest.fixture
def start(build_fleet):
    """Return a function that builds a fleet with one process to stop."""

    def build(*, routes=None, grace_seconds=SHORT_GRACE_S, gateways=3):
        fleet = build_fleet(gateways=gateways, upstreams=4, routes=routes)
        fleet.advance(1.0)
        return fleet, Process(
            fleet=fleet, number=0, grace_seconds=grace_seconds
        )

    return build


def silence(fleet):
    fleet.silent_upstreams.update(fleet.upstreams)


def find_sends(fleet, request):
    name = request.identifier.encode()
    return [
        send for send in fleet.sent if send.connection.headers[b"id"] == name
    ]


def is_answered(request):
    """Return whether a client got a complete answer."""
    return request.is_ended and request.status is not None


# Failure: requests that had been passed on were cut without an answer when
# the process ended.
@pytest.mark.parametrize("routes", [None, [ONCE]])
def test_what_outlasts_the_stop_gets_a_final_answer(start, routes):
    fleet, process = start(routes=routes)
    silence(fleet)
    requests = [process.send(f"q{number}") for number in range(6)]
    fleet.advance(0.5)
    process.terminate()
    fleet.advance(SHORT_GRACE_S)
    assert process.exited_at - process.started_at < SHORT_GRACE_S
    for request in requests:
        assert find_sends(fleet, request)
        assert is_answered(request)
        assert request.written == b"unknown"


def test_what_outlasts_the_stop_and_was_not_sent_is_promised(start):
    fleet, process = start()
    process.gateway.placement.must_hold = lambda *_, **options: True
    request = process.send("q")
    # A gateway that drains releases what it holds.
    process.gateway.drain = lambda: None
    process.terminate()
    fleet.advance(SHORT_GRACE_S)
    assert process.exited_at is not None
    assert not find_sends(fleet, request)
    assert is_answered(request)
    assert (request.status, request.written) == (503, b"not_run")


def test_a_stream_that_outlasts_the_stop_does_not_look_complete(start):
    fleet, process = start(routes=[ONCE])
    request = process.send("q")
    fleet.advance(0.3)
    silence(fleet)
    process.terminate()
    fleet.advance(SHORT_GRACE_S)
    assert process.exited_at is not None
    assert request.written.startswith(b"id: 1\n")
    assert request.is_aborted and not request.is_ended


def test_nothing_is_passed_on_that_could_outlast_the_stop(start):
    fleet, process = start(routes=[ONCE])
    process.terminate()
    refused = [process.send(f"q{number}") for number in range(4)]
    # Time limits of 1 s.
    process.gateway.routes = build_table(
        [build_route(kind=RouteKind.STREAM, is_resumable=False, timeout=1.0)]
    )
    taken = [process.send(f"t{number}") for number in range(4)]
    fleet.advance(1.5)
    taken += [process.send(f"u{number}") for number in range(4)]
    fleet.advance(0.2)
    refused += [process.send(f"v{number}") for number in range(4)]
    for request in refused:
        assert (request.status, request.written) == (503, b"not_run")
        assert not find_sends(fleet, request)
    fleet.advance(SHORT_GRACE_S)
    assert process.exited_at is not None
    assert all(request.is_served() for request in taken)


def test_a_later_signal_changes_nothing(start):
    fleet, process = start()
    silence(fleet)
    request = process.send("q")
    process.terminate()
    for _ in range(5):
        fleet.advance(0.5)
        process.shutdown.begin()
    fleet.advance(0.5)
    assert process.exited_at - process.started_at < SHORT_GRACE_S
    assert is_answered(request)


def test_a_gateway_without_work_is_gone_once_the_balancer_has_noticed(start):
    fleet, process = start(grace_seconds=8.0)
    process.terminate()
    fleet.advance(3.0)
    assert process.exited_at is not None


def cut_off(fleet, gateway):
    """Let a gateway lose its links and notice it."""
    fleet.set_links(gateway, LinkState.RESET)
    for number in range(2):
        fleet.request(f"cut{number}", gateway=gateway)
    fleet.advance(3.0)
    assert gateway.reach.is_confirmed


@pytest.mark.parametrize("routes", [None, [ONCE]])
def test_requests_of_a_peer_go_on_elsewhere_or_are_not_promised(start, routes):
    fleet, process = start(routes=routes)
    cut_off(fleet, fleet.gateways[1])
    requests = [
        fleet.request(f"q{number}", gateway=fleet.gateways[1])
        for number in range(16)
    ]
    fleet.advance(0.3)
    silence(fleet)
    requests = [
        request
        for request in requests
        if find_sends(fleet, request)[0].gateway is process.gateway
    ]
    assert len(requests) >= 4
    process.terminate()
    fleet.advance(SHORT_GRACE_S - KILL_MARGIN_S)
    fleet.silent_upstreams.clear()
    fleet.advance(2.0)
    assert process.exited_at is not None
    for request in requests:
        count = len(find_sends(fleet, request))
        if routes is None:
            assert request.is_served()
        else:
            assert count == 1
            assert request.is_aborted and not request.is_ended


@pytest.mark.parametrize("routes", [None, [ONCE]])
def test_what_a_peer_runs_is_ended_with_an_unknown_outcome(start, routes):
    fleet, process = start(routes=routes)
    cut_off(fleet, process.gateway)
    silence(fleet)
    requests = [process.send(f"q{number}") for number in range(4)]
    fleet.advance(0.3)
    process.terminate()
    fleet.advance(SHORT_GRACE_S)
    assert process.exited_at is not None
    for request in requests:
        assert is_answered(request)
        assert request.written == b"unknown"
        assert not any(send.is_open() for send in find_sends(fleet, request))


def test_clients_go_on_beside_stops_one_after_the_other(start):
    """Seeded: each client sends to any front that has not exited."""
    fleet, _ = start(routes=[ONCE], gateways=4)
    processes = [
        Process(fleet=fleet, number=number, grace_seconds=8.0)
        for number in range(4)
    ]
    source = random.Random(5)
    requests = []
    for step in range(120):
        if step in (10, 40, 70):
            processes[step // 30].terminate()
        if step == 30:
            silence(fleet)
        elif step == 95:
            fleet.silent_upstreams.clear()
        live = [each for each in processes if each.exited_at is None]
        for number in range(3):
            process = source.choice(live)
            requests.append(process.send(f"q{step}-{number}"))
        fleet.advance(0.1)
    fleet.silent_upstreams.clear()
    fleet.advance(9.0)
    assert [each.exited_at is None for each in processes] == [False] * 3 + [
        True
    ]
    for request in requests:
        sends = find_sends(fleet, request)
        assert len(sends) <= 1
        assert is_answered(request) or request.is_aborted
        if request.written == b"not_run":
            assert not sends
    served = sum(request.is_served() for request in requests)
    assert served > len(requests) / 4


def test_a_read_of_a_peer_that_waits_is_answered(
    build_gateway, reactor, monkeypatch
):
    gateway = build_gateway()
    waiting = defer.Deferred()
    monkeypatch.setattr(
        gateway.reading, "read_by_query", lambda *arguments: waiting
    )
    request = ServerRequest(reactor=reactor, uri=b"/jobs/j?position=0&wait=1")
    answer_internal(gateway, request)
    assert request.status is None
    gateway.work.end_all()
    assert request.status == 503 and not gateway.work.running


def test_a_gateway_without_clients_answers_the_reads_of_its_peers(
    build_gateway, reactor, monkeypatch
):
    gateway = build_gateway(client_port=None)
    waiting = defer.Deferred()
    monkeypatch.setattr(
        gateway.reading, "read_by_query", lambda *arguments: waiting
    )
    request = ServerRequest(reactor=reactor, uri=b"/jobs/j?position=0&wait=1")
    answer_internal(gateway, request)
    exits = []
    process = types.SimpleNamespace(
        callLater=reactor.callLater,
        seconds=reactor.seconds,
        stop=lambda: exits.append(reactor.seconds()),
    )
    Shutdown(reactor=process, gateway=gateway).begin()
    for _ in range(10):
        reactor.advance(0.1)
    assert not exits
    waiting.callback(None)
    for _ in range(5):
        reactor.advance(0.1)
    assert exits


def test_a_submission_that_waits_for_the_store_is_not_promised(
    gateway, reactor, store, helpers, monkeypatch
):
    gateway.routes = build_table([build_route(kind=RouteKind.BATCH)])
    gateway.dialect.decode_items = lambda body: []
    monkeypatch.setattr(
        gateway.submissions, "create_record", lambda *_: defer.Deferred()
    )
    request = MemoryRequest(reactor=reactor)
    defer.ensureDeferred(gateway.online.answer(request, helpers.build_head()))
    gateway.drain()
    reactor.advance(3.0)
    early = MemoryRequest(reactor=reactor)
    defer.ensureDeferred(gateway.online.answer(early, helpers.build_head()))
    reactor.advance(1.0)
    late = MemoryRequest(reactor=reactor)
    defer.ensureDeferred(gateway.online.answer(late, helpers.build_head()))
    assert (late.status, late.written) == (503, b"not_run")
    gateway.work.end_all()
    for each in (request, early):
        assert is_answered(each) and each.written == b"unknown"


def test_a_request_behind_the_last_answer_is_promised(gateway, reactor):
    request = ServerRequest(reactor=reactor, uri=b"/")
    request.getClientIP = lambda: "127.0.0.1"
    refuse_late(gateway, request)
    assert (request.status, request.written) == (503, b"not_run")


class ServerRequest(MemoryRequest):
    """Request of a peer."""

    def __init__(self, *, reactor, uri):
        super().__init__(reactor=reactor)
        self.uri = uri
        self.method = b"GET"
