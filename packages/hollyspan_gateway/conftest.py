"""Fixtures with a gateway and in-memory stand-ins."""

import types

import pytest
from twisted.internet import defer
from twisted.internet import task

from hollyspan_core.store import TOKEN_BYTES
from hollyspan_gateway.gateway import Gateway
from hollyspan_gateway.metrics import Metrics
from hollyspan_gateway.settings import GatewaySettings
from hollyspan_gateway.store import Store
from hollyspan_gateway.store_reading import DISCOVERY_S
from hollyspan_standins.memory import build_entry
from hollyspan_standins.memory import build_events
from hollyspan_standins.memory import build_head
from hollyspan_standins.memory import build_route
from hollyspan_standins.memory import build_table
from hollyspan_standins.memory import MemoryFleet
from hollyspan_standins.memory import MemoryPool
from hollyspan_standins.memory import MemoryRequest
from hollyspan_standins.memory import MemoryWire
from hollyspan_standins.memory import PlainDialect


@pytest.fixture
def reactor():
    clock = task.Clock()
    clock.advance(100.0)
    return clock


@pytest.fixture
def wire(reactor):
    return MemoryWire(reactor=reactor)


@pytest.fixture
def store(wire, reactor):
    tokens = iter(range(1, 1_000_000))
    return Store(
        wire=wire,
        reactor=reactor,
        create_token=lambda: next(tokens).to_bytes(TOKEN_BYTES, "big"),
    )


@pytest.fixture
def build_gateway(reactor, store):
    """Return a function that builds a gateway with some upstreams."""

    def build(
        *,
        name="g1",
        data_centre="a",
        upstreams=("u1", "u2"),
        slots=8,
        routes=None,
        runs_batch=True,
        incarnation=1,
        client_port=1,
        withdrawal_seconds=None,
        paces_upstreams=False,
        memory_bytes=None,
    ):
        gateway = Gateway(
            reactor=reactor,
            settings=GatewaySettings(
                instance=name,
                data_centre=data_centre,
                regions={"a": "r", "b": "r", "far": "s"},
                ip="10.0.0.9",
                client_port=client_port,
                ready_port=2,
                peer_port=3,
                snapshot_port=4,
                metrics_port=5,
                runs_batch=runs_batch,
                store_address=("10.0.0.8", 1),
                grace_seconds=8.0,
                withdrawal_seconds=withdrawal_seconds,
                paces_upstreams=paces_upstreams,
                memory_bytes=memory_bytes,
            ),
            store=store,
            dialect=PlainDialect(),
            metrics=Metrics(),
            incarnation=incarnation,
        )
        gateway.use_pool(MemoryPool(reactor=reactor))
        gateway.wall_clock = reactor.seconds
        gateway.boot_clock = reactor.seconds
        gateway.routes = build_table(routes or [build_route()])
        gateway.upstreams_mirror.is_connected = True
        # It has been up long enough to know its peers.
        gateway.store_reading.started_at -= DISCOVERY_S
        gateway.directory.update(
            {
                each: build_entry(each, port=number, slots=slots)
                for number, each in enumerate(upstreams, 1)
            }
        )
        return gateway

    return build


@pytest.fixture
def gateway(build_gateway):
    return build_gateway()


@pytest.fixture
def build_fleet(reactor, build_gateway):
    """Return a function that builds gateways and upstreams in memory."""

    def build(
        *,
        gateways=4,
        upstreams=6,
        versions=("v1",),
        tells_start=True,
        **options,
    ):
        fleet = MemoryFleet(
            reactor=reactor,
            build_gateway=build_gateway,
            upstreams=upstreams,
            versions=versions,
            tells_start=tells_start,
            options={"runs_batch": False, **options},
        )
        for _ in range(gateways):
            fleet.add_gateway()
        return fleet

    return build


@pytest.fixture
def helpers():
    """Builders of routes, heads, entries and events."""
    return types.SimpleNamespace(
        build_entry=build_entry,
        build_events=build_events,
        build_head=build_head,
        build_request=MemoryRequest,
        build_route=build_route,
        build_table=build_table,
    )


@pytest.fixture
def run():
    """Return a function that runs a coroutine that ends at once."""

    def finish(work):
        results = []
        defer.ensureDeferred(work).addBoth(results.append)
        (result,) = results
        if hasattr(result, "raiseException"):
            result.raiseException()
        return result

    return finish
