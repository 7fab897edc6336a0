"""Tests of workspaces' rates at whole gateways in memory."""

import pytest
from twisted.internet import defer

from hollyspan_core.workspaces import digest_key
from hollyspan_core.workspaces import Workspace
from hollyspan_core.workspaces import WorkspaceTable
from hollyspan_gateway.indirect_probes import INDIRECT_PROBES_PATH
from hollyspan_gateway.tests.test_forwarded_requests import cut_off
from hollyspan_standins.memory import build_head
from hollyspan_standins.memory import build_table
from hollyspan_standins.memory import MemoryRequest

DIGEST = digest_key("k")
RATE = 10.0
BURST = 10.0
WINDOW_S = 5.0
# Requests in a window without any tolerance.
BOUND = RATE * WINDOW_S + BURST


@pytest.fixture
def fleet(build_fleet):
    fleet = build_fleet(gateways=4, upstreams=8)
    fleet.advance(1.0)
    return fleet


def set_rate(fleet, rate=RATE, burst=BURST):
    """Let all gateways have one workspace with a rate."""
    workspace = Workspace(name="w", rate=rate, burst=burst)
    for gateway in fleet.gateways:
        gateway.routes = build_table(gateway.routes.list_routes())
        gateway.routes.workspaces = WorkspaceTable(
            by_digest={DIGEST: workspace}
        )


def ask(fleet, number, name):
    """Send a request with the workspace's key."""
    gateway = fleet.gateways[number]
    request = MemoryRequest(reactor=fleet.reactor, identifier=name)
    head = build_head(name)
    head.key_digest = DIGEST
    work = defer.ensureDeferred(gateway.online.answer(request, head))
    request.on_disconnect = work.cancel
    work.addErrback(gateway.online.handle_failure, request, head)
    return request


def count_admitted(fleet):
    return sum(
        gate.admitted
        for gateway in fleet.gateways
        for gate in gateway.workspace_rates.gates.values()
    )


def ask_steadily(fleet, *, per_second, seconds):
    """Send requests to all gateways in turn."""
    requests = []
    for number in range(round(per_second * seconds)):
        requests.append(ask(fleet, number % 4, f"q{len(fleet.sent)}-{number}"))
        fleet.advance(1.0 / per_second)
    return requests


def test_requests_beyond_the_rate_are_refused_at_once(fleet):
    set_rate(fleet)
    requests = ask_steadily(fleet, per_second=50, seconds=5.0)
    refused = [each for each in requests if each.status == 429]
    assert all(each.begun_at == each.arrived_at for each in refused)
    # The rest of the margin is what gateways admit before they are told.
    assert len(requests) - len(refused) <= BOUND * 1.1 + 20.0
    assert len(requests) - len(refused) >= 0.8 * BOUND


def test_requests_within_the_rate_are_served(fleet):
    set_rate(fleet)
    requests = ask_steadily(fleet, per_second=6, seconds=8.0)
    fleet.advance(2.0)
    assert all(each.is_served() for each in requests)


def test_a_forwarded_request_counts_at_the_first_gateway(fleet):
    cut_off(fleet, fleet.gateways[0])
    set_rate(fleet)
    requests = [ask(fleet, 0, f"q{number}") for number in range(5)]
    fleet.advance(2.0)
    assert all(each.is_served() for each in requests)
    calls = [
        call
        for call in fleet.peer_calls
        if not call.uri.startswith(INDIRECT_PROBES_PATH)
    ]
    assert len(calls) >= 5
    assert all(call.getHeader("id") for call in calls)
    assert count_admitted(fleet) == 5


def test_a_request_without_a_run_gives_its_credit_back(fleet):
    set_rate(fleet)
    for name in list(fleet.upstreams):
        fleet.restarts = False
        fleet.end_upstream(name)
    fleet.advance(1.0)
    requests = [ask(fleet, number % 4, f"q{number}") for number in range(8)]
    fleet.advance(6.0)
    assert all(each.status == 503 for each in requests)
    assert count_admitted(fleet) == 0


def test_further_runs_count(fleet):
    set_rate(fleet)
    fleet.faults = {
        name: lambda connection: connection.answer(500)
        for name in fleet.upstreams
    }
    request = ask(fleet, 0, "q")
    fleet.advance(2.0)
    assert request.is_ended
    assert count_admitted(fleet) == len(fleet.sent) > 1


@pytest.mark.parametrize("has_workspaces", [False, True])
def test_without_rates_nothing_is_told(fleet, has_workspaces):
    set_rate(fleet, rate=0.0)
    told = []
    for gateway in fleet.gateways:
        if not has_workspaces:
            gateway.routes.workspaces = None
        gateway.peers.send_change = record_notices(gateway.peers, told)
    request = ask(fleet, 0, "q")
    fleet.advance(2.0)
    assert request.is_served()
    assert not told
    set_rate(fleet)
    ask(fleet, 0, "r")
    fleet.advance(2.0)
    assert told


def record_notices(peers, told):
    """Return a function that sends changes and notes those of rates."""
    send_change = peers.send_change

    def send(recipients, **fields):
        told.extend(fields.get("rate_notices", ()))
        send_change(recipients, **fields)

    return send


def find_tokens(gateway):
    """Return what the bucket of a workspace begins with at a keeper."""
    keeping = gateway.workspace_rates.keeping
    kept = keeping.find(
        1,
        Workspace(name="w", rate=RATE, burst=5 * RATE),
        now=gateway.reactor.seconds(),
    )
    return kept.ledger.tokens


# Failure: after all gateways had ended at once, the whole burst was given out
# once more.
def test_a_fleet_that_has_started_again_gives_out_no_second_burst(build_fleet):
    fleet = build_fleet(gateways=4, upstreams=8)
    for gateway in fleet.gateways:
        gateway.stream_versions.remembered_since = fleet.reactor.seconds()
    fleet.advance(1.0)
    assert find_tokens(fleet.gateways[0]) == pytest.approx(RATE, rel=0.1)


def test_a_keeper_that_starts_again_alone_begins_full(build_fleet):
    fleet = build_fleet(gateways=4, upstreams=8)
    first, *others = fleet.gateways
    first.stream_versions.remembered_since = fleet.reactor.seconds()
    for gateway in others:
        gateway.stream_versions.note_first_start()
    fleet.advance(1.0)
    assert find_tokens(first) == 5 * RATE


def test_a_fleet_that_starts_for_the_first_time_begins_full(build_fleet):
    fleet = build_fleet(gateways=4, upstreams=8)
    for gateway in fleet.gateways:
        gateway.stream_versions.note_first_start()
    fleet.advance(0.1)
    assert find_tokens(fleet.gateways[0]) == 5 * RATE
