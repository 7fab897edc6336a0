"""One gateway as a process of the simulation."""

import eliot
from twisted.internet import defer

from hollyspan_core.errors import StreamLostError
from hollyspan_core.store import TOKEN_BYTES
from hollyspan_gateway.daemon import register
from hollyspan_gateway.daemon import WORKER_START_DELAY_S
from hollyspan_gateway.gateway import Gateway
from hollyspan_gateway.jobs.worker import Worker
from hollyspan_gateway.metrics import Metrics
from hollyspan_gateway.settings import GatewaySettings
from hollyspan_gateway.shutdown import Shutdown
from hollyspan_gateway.store import Store

from ..memory import MemoryPool
from .call import CallBetweenGateways
from .clock import ProcessClock
from .dialect import SearchDialect
from .engine import ONE_WAY_S
from .engine import Run
from .network import ADDRESS
from .network import find_host
from .network import Transport
from .store import StoreWire

__all__ = ["GatewayProcess"]

REGIONS = {"a": "r", "b": "r"}


class OrderedSet(dict):
    """Set of objects whose order does not depend on their addresses."""

    def add(self, value):
        self[value] = None

    def discard(self, value):
        self.pop(value, None)


class GatewayProcess:
    """A gateway with its clock, links and life.

    Parameters
    ----------
    world : World
    name : str
    port : int
    is_worker : bool
        Whether it runs items; otherwise it serves clients.

    Attributes
    ----------
    is_running : bool
        False while it stands still.
    is_dead : bool
    requests : dict
        Requests of clients without a final answer, as keys.
    calls : dict
        Calls to and from other gateways, as keys.
    """

    def __init__(self, *, world, name, port, is_worker):
        self.world = world
        self.name = name
        self.port = port
        self.is_worker = is_worker
        self.is_running = True
        self.is_dead = False
        self.parked = []
        self.requests = {}
        self.calls = {}
        self.runs = {}
        self.clock = ProcessClock(clock=world.clock, process=self)
        self.wire = StoreWire(store=world.store, reactor=self.clock)
        self.gateway = self.build_gateway()

    def build_gateway(self):
        tokens = iter(range(1, 1 << 30))
        prefix = self.world.count_process().to_bytes(4, "big")
        store = Store(
            wire=self.wire,
            reactor=self.clock,
            create_token=lambda: prefix
            + next(tokens).to_bytes(TOKEN_BYTES - 4, "big"),
        )
        number = int(self.name.rpartition("-")[2])
        gateway = Gateway(
            reactor=self.clock,
            settings=GatewaySettings(
                instance=self.name,
                data_centre="ab"[number % 2],
                regions=REGIONS,
                ip=find_host(self.port),
                client_port=None if self.is_worker else 1,
                ready_port=None if self.is_worker else 2,
                peer_port=self.port,
                snapshot_port=4,
                metrics_port=5,
                runs_batch=self.is_worker,
                store_address=("10.0.0.8", 1),
                grace_seconds=8.0,
            ),
            store=store,
            dialect=SearchDialect(limit=self.world.scenario.limit),
            metrics=Metrics(),
            incarnation=int(self.clock.seconds() * 1e6),
        )
        skew = self.world.draw_skew()
        gateway.wall_clock = lambda: self.clock.seconds() + skew
        gateway.boot_clock = self.clock.seconds
        gateway.guard.exposures = OrderedSet()
        pool = MemoryPool(reactor=self.clock)
        gateway.use_pool(pool)
        pool.on_send = self.handle_send
        pool.drops_new = lambda address: (
            address[0] == ADDRESS
            and self.world.links.drops_new(gateway, address[1])
        )
        pool.resets_new = lambda address: (
            address[0] == ADDRESS
            and self.world.links.resets_new(gateway, address[1])
        )
        pool.refuses_new = self.refuses_new
        return gateway

    def start(self):
        """Start the gateway's parts, as a daemon does."""
        gateway = self.gateway
        gateway.peers.transport = Transport(world=self.world, process=self)
        gateway.peers.startProtocol()
        gateway.configuration_mirror.start()
        gateway.upstreams_mirror.start()
        gateway.proof_of_life.start()
        gateway.guard.records.start()
        work = defer.ensureDeferred(register(gateway))
        work.addErrback(eliot.write_failure)
        if self.is_worker:
            gateway.worker = Worker(gateway=gateway)
            self.clock.callLater(WORKER_START_DELAY_S, gateway.worker.start)

    def refuses_new(self, address):
        host, port = address
        if host != ADDRESS:
            return self.world.find_process(host) is None
        return self.world.find_engine(
            port
        ) is None or self.world.links.refuses_new(self.gateway, port)

    def handle_send(self, connection):
        """Bring a request to an upstream or to another gateway."""
        if self.is_dead:
            return
        host, port = connection.address
        if host != ADDRESS:
            CallBetweenGateways.open(self, connection)
            return
        if connection.exchange.target == SearchDialect.report_target:
            self.world.clock.callLater(2 * ONE_WAY_S, self.report, connection)
            return
        run = Run(
            process=self, connection=connection, sent_at=self.clock.seconds()
        )
        self.runs[run] = None
        connection.on_cancel = lambda: self.close(run)
        links = self.world.links
        if connection.is_reset or links.resets_requests(self.gateway, port):
            run.fail("connection reset")
            return
        self.world.clock.callLater(ONE_WAY_S, self.arrive, run)

    def report(self, connection):
        """Let an upstream answer when it has started."""
        port = connection.address[1]
        if connection.is_cancelled or self.is_dead:
            return
        engine = self.world.find_engine(port)
        links = self.world.links
        if links.hangs(self.gateway, port):
            return
        if (
            engine is None
            or connection.is_reset
            or links.resets_requests(self.gateway, port)
        ):
            connection.exchange.on_failure(StreamLostError("connection reset"))
            return
        connection.answer(200, body=b"%d" % engine.started_at_ms)

    def arrive(self, run):
        port = run.connection.address[1]
        if not run.is_open or self.world.links.hangs(self.gateway, port):
            return
        engine = self.world.find_engine(port)
        if engine is None:
            run.fail("connection closed")
        else:
            self.world.note_arrival(engine, run)
            engine.receive(run)

    def close(self, run):
        """Close the connection of a run."""
        self.runs.pop(run, None)
        self.world.clock.callLater(ONE_WAY_S, self.world.close_run, run)

    def serve(self, request, head):
        """Answer a client."""
        if self.is_dead:
            request.abort()
            return
        self.requests[request] = None
        request.arrived_at = self.clock.seconds()
        work = defer.ensureDeferred(self.gateway.online.answer(request, head))
        request.on_disconnect = work.cancel
        work.addErrback(self.gateway.online.handle_failure, request, head)

    def stop(self, on_end):
        """End after the work in flight; call a function then."""
        self.clock.stop = on_end
        Shutdown(reactor=self.clock, gateway=self.gateway).begin()

    def pause(self):
        """Stand still."""
        self.is_running = False

    def resume(self):
        """Go on."""
        if not self.is_dead:
            self.is_running = True
            self.clock.resume()

    def kill(self):
        """End without a word."""
        self.is_dead = True
        self.is_running = False
        for run in list(self.runs):
            self.world.close_run(run)
        for call in list(self.calls):
            call.break_off()
        for request in list(self.requests):
            request.lose()
        self.requests.clear()
