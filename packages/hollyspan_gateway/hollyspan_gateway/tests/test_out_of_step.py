"""Tests of streams that are taken up at a gateway that is out of step.

While a new version joins, one gateway is cut off from the store, from the
other gateways or from both, or stands still; it still reaches upstreams.
"""

import random

import pytest

from hollyspan_gateway.tests.test_stream_versions import Client
from hollyspan_standins.memory.fleet import build_dead_store

GATEWAYS = 6
OLD_UPSTREAMS = 6
NEW_UPSTREAMS = 4
OUT_OF_STEP_S = 3.5
# Time after which the gateway reads the changes that it has missed.
CATCH_UP_S = 0.2


class OutOfStep:
    """Keeps one gateway of a fleet out of step.

    Parameters
    ----------
    fleet : MemoryFleet
    misses_store, misses_peers : bool
    """

    def __init__(self, *, fleet, misses_store, misses_peers):
        self.fleet = fleet
        self.gateway = fleet.gateways[-1]
        self.misses_store = misses_store
        self.misses_peers = misses_peers
        self.store = self.gateway.store
        self.list_upstreams = fleet.list_upstreams

    def begin(self):
        if self.misses_peers:
            self.fleet.network.isolate(1000 + GATEWAYS - 1)
        if self.misses_store:
            self.gateway.store = build_dead_store(self.fleet.reactor)
            self.fleet.list_upstreams = self.list_for_others

    def list_for_others(self, gateway):
        if gateway is not self.gateway:
            self.list_upstreams(gateway)

    def end(self):
        """Reach all again; what was missed is read a little later."""
        self.fleet.network.blocked.clear()
        self.gateway.store = self.store
        self.fleet.list_upstreams = self.list_upstreams
        self.fleet.reactor.callLater(
            CATCH_UP_S, self.fleet.list_upstreams, self.gateway
        )


def release(fleet, rng):
    """Start upstreams of the next version and end some of the first."""
    for number in range(NEW_UPSTREAMS):
        delay = rng.uniform(0.0, OUT_OF_STEP_S)
        fleet.reactor.callLater(
            delay,
            lambda port=OLD_UPSTREAMS + 1 + number: fleet.start_upstream(
                port=port, version="v2"
            ),
        )
    for name in list(fleet.upstreams)[: rng.randint(0, OLD_UPSTREAMS - 1)]:
        fleet.reactor.callLater(
            rng.uniform(0.0, OUT_OF_STEP_S), fleet.end_upstream, name
        )


def run_clients(fleet, state, rng, *, seconds, names_stream):
    """Let clients begin at other gateways and come back at the one."""
    clients = []
    leaving = []
    until = fleet.reactor.seconds() + seconds
    while fleet.reactor.seconds() < until:
        client = Client(
            fleet=fleet,
            name=f"q{len(clients)}",
            gateway=rng.choice(fleet.gateways[:-1]),
        )
        client.names_stream = names_stream
        clients.append(client)
        leaving.append(
            (fleet.reactor.seconds() + rng.uniform(0.2, 0.6), client)
        )
        fleet.advance(rng.uniform(0.02, 0.1))
        for item in list(leaving):
            at, gone = item
            if at > fleet.reactor.seconds() or not gone.list_events():
                continue
            leaving.remove(item)
            if not gone.is_served():
                gone.leave()
                gone.resume(gateway=state.gateway)
    for _, client in leaving:
        if client.list_events() and not client.is_served():
            client.leave()
            client.resume(gateway=state.gateway)
    return clients


# Guards against streams of a new version that go on at the old one, which was
# reported of a similar system and not seen here.
@pytest.mark.parametrize("restarts_keeper", [False, True])
@pytest.mark.parametrize("names_stream", [True, False])
@pytest.mark.parametrize(
    ("misses_store", "misses_peers"),
    [(True, True), (True, False), (False, True)],
)
@pytest.mark.parametrize("seed", range(2))
def test_streams_taken_up_out_of_step_keep_their_version(
    build_fleet,
    seed,
    misses_store,
    misses_peers,
    names_stream,
    restarts_keeper,
):
    rng = random.Random(seed)
    fleet = build_fleet(gateways=GATEWAYS, upstreams=OLD_UPSTREAMS)
    fleet.restarts = False
    fleet.advance(1.0)
    state = OutOfStep(
        fleet=fleet, misses_store=misses_store, misses_peers=misses_peers
    )
    state.begin()
    release(fleet, rng)
    if restarts_keeper:
        number = rng.randrange(GATEWAYS - 1)
        at = rng.uniform(0.5, OUT_OF_STEP_S)
        fleet.reactor.callLater(at, fleet.kill_gateway, number)
        fleet.reactor.callLater(at + 0.5, fleet.restart_gateway, number)
    fleet.reactor.callLater(OUT_OF_STEP_S, state.end)
    clients = run_clients(
        fleet,
        state,
        rng,
        seconds=OUT_OF_STEP_S + 1.0,
        names_stream=names_stream,
    )
    fleet.advance(3.0)
    resumed = [client for client in clients if len(client.requests) > 1]
    assert len(resumed) > 10
    assert {client.count_versions() for client in resumed} == {1}
