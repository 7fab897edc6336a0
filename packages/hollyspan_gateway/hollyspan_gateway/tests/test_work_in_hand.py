"""Tests of answers that no other attempt could go on with."""

import pytest

from hollyspan_core.errors import StreamLostError
from hollyspan_core.workspaces import Workspace
from hollyspan_gateway.configuration import put_in_force
from hollyspan_gateway.upstreams import alternatives
from hollyspan_standins.memory import build_route
from hollyspan_standins.memory import build_table
from hollyspan_standins.memory import LinkState


def find_sends(fleet, request):
    name = request.identifier.encode()
    return [
        send for send in fleet.sent if send.connection.headers[b"id"] == name
    ]


def cut_off(fleet, gateway):
    fleet.set_links(gateway, LinkState.RESET)
    for number in range(2):
        fleet.request(f"cut-{number}", gateway=gateway)
    fleet.advance(3.0)
    assert gateway.reach.is_confirmed


# Failure: a hop at the last attempt was given up when datagrams were lost.
@pytest.mark.parametrize(
    ("max_attempts", "begins"), [(1, True), (2, True), (2, False)]
)
def test_hop_at_last_attempt_outlasts_a_peer_not_heard(
    build_fleet, max_attempts, begins
):
    fleet = build_fleet(
        gateways=3,
        upstreams=4,
        routes=[build_route(max_attempts=max_attempts)],
    )
    fleet.advance(1.0)
    front = fleet.gateways[0]
    cut_off(fleet, front)
    request = fleet.request("q", gateway=front)
    fleet.advance(0.3)
    if max_attempts == 2:
        (sent,) = find_sends(fleet, request)
        sent.is_ended = True
        sent.connection.exchange.on_failure(StreamLostError("closed"))
        fleet.advance(0.15 if begins else 0.03)
    before = len(find_sends(fleet, request))
    assert before == max_attempts
    # The peer's datagrams are lost, and the upstreams stand still: 1.8 s.
    transports = [each.peers.transport for each in fleet.gateways]
    for each in fleet.gateways[1:]:
        each.peers.transport = None
    fleet.silent_upstreams = set(fleet.upstreams)
    fleet.advance(1.8)
    fleet.silent_upstreams = set()
    for each, transport in zip(fleet.gateways, transports):
        each.peers.transport = transport
    fleet.advance(3.0)
    assert len(find_sends(fleet, request)) == before
    assert request.is_served(), (request.status, request.is_aborted)


def report_free_places(monkeypatch):
    """Let all other upstreams have just reported a free place."""
    monkeypatch.setattr(alternatives, "is_free", lambda *arguments: True)


def begin(fleet, gateway, **options):
    for number in range(30):
        fleet.request(f"w{number}", gateway=gateway, workspace="w")
        fleet.advance(0.05)
    fleet.advance(1.0)
    request = fleet.request("q", gateway=gateway, **options)
    fleet.advance(0.3)
    (sent,) = find_sends(fleet, request)
    assert request.written
    return request, sent


# Failure: a stream was given up in a silence though its key was not accepted
# for another attempt.
def test_stream_outlasts_silence_while_keys_are_unconfirmed(
    build_fleet, monkeypatch
):
    report_free_places(monkeypatch)
    fleet = build_fleet(gateways=2, upstreams=4)
    age = [0.0]
    for gateway in fleet.gateways:
        gateway.settings.withdrawal_seconds = 5.0
        gateway.configuration_mirror.measure_confirmed_age = lambda: age[0]
        gateway.routes = build_table(
            [build_route()],
            workspaces=[Workspace(name="w", rate=10.0)],
        )
    fleet.advance(1.0)
    request, sent = begin(fleet, fleet.gateways[0], workspace="w")
    age[0] = 60.0
    fleet.silent_upstreams = {sent.upstream}
    fleet.advance(1.2)
    fleet.silent_upstreams = set()
    fleet.advance(3.0)
    assert request.is_served(), (request.status, request.is_aborted)


# Failure: the same under a block, which leaves what has data at its upstream.
def test_stream_outlasts_silence_while_a_part_is_blocked(
    build_fleet, monkeypatch
):
    report_free_places(monkeypatch)
    fleet = build_fleet(gateways=2, upstreams=4)
    fleet.advance(1.0)
    request, sent = begin(fleet, fleet.gateways[0], parts=(7,))
    for gateway in fleet.gateways:
        gateway.guard.block_list.add(
            frozenset({7}), at=fleet.reactor.seconds()
        )
    fleet.advance(0.1)
    assert sent.is_open() and request.is_open
    fleet.silent_upstreams = {sent.upstream}
    fleet.advance(1.2)
    fleet.silent_upstreams = set()
    fleet.advance(3.0)
    assert request.is_served(), (request.status, request.is_aborted)


# Failure: the same when a configuration had withdrawn the key meanwhile.
def test_stream_outlasts_silence_after_its_key_was_withdrawn(
    build_fleet, monkeypatch
):
    report_free_places(monkeypatch)
    fleet = build_fleet(gateways=2, upstreams=4)
    for gateway in fleet.gateways:
        gateway.routes = build_table(
            [build_route()], workspaces=[Workspace(name="w", rate=10.0)]
        )
    fleet.advance(1.0)
    request, sent = begin(fleet, fleet.gateways[0], workspace="w")
    for gateway in fleet.gateways:
        put_in_force(
            gateway,
            build_table(
                [build_route()],
                version=2,
                revision=2,
                workspaces=[Workspace(name="v", rate=10.0)],
            ),
        )
    fleet.advance(0.1)
    assert sent.is_open() and request.is_open
    fleet.silent_upstreams = {sent.upstream}
    fleet.advance(1.2)
    fleet.silent_upstreams = set()
    fleet.advance(3.0)
    assert request.is_served(), (request.status, request.is_aborted)


# Failure: peers refused to go on with streams of a service that a
# configuration had taken the weight from meanwhile.
@pytest.mark.parametrize(
    "changes",
    [False, True],
    ids=["same", "changed"],
)
def test_streams_go_on_over_peers_after_weights_have_changed(
    build_fleet, changes
):
    fleet = build_fleet(gateways=3, upstreams=4)
    fleet.advance(1.0)
    front = fleet.gateways[0]
    request = fleet.request("q", gateway=front)
    fleet.advance(0.3)
    assert request.written
    if changes:
        for gateway in fleet.gateways:
            put_in_force(
                gateway,
                build_table(
                    [build_route(services=[("m", 0), ("n", 1)])],
                    version=2,
                    revision=2,
                ),
            )
    fleet.set_links(front, LinkState.RESET)
    fleet.advance(2.5)
    fleet.advance(3.0)
    assert request.is_served(), (request.status, request.is_aborted)
