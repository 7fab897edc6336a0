"""All processes of one run, and what happens between them."""

import collections
import math
import random

from hollyspan_gateway.jobs.records import build_result_key

from ..memory.links import Links
from .client import JobClient
from .client import StreamClient
from .clock import SearchClock
from .dialect import build_upstream_key
from .dialect import CONFIGURATION_KEY
from .dialect import encode_upstream
from .dialect import RETIREMENT_PREFIX
from .engine import Engine
from .network import ADDRESS
from .network import find_host
from .process import GatewayProcess
from .store import SearchStore

__all__ = ["PREPARATION_S", "START_S", "World"]

# Time at which clients begin, after the processes have found each other.
START_S = 1000.0
PREPARATION_S = 3.0
FIRST_GATEWAY_PORT = 1000
# Time in which the store drops the entry of an upstream that has ended.
MIN_EXPIRY_S = 3.0
MAX_EXPIRY_S = 4.5
# Time from an end by a fatal part to the upstream's return.
FATAL_RETURN_S = 1.5
# Time of a datagram within a data centre.
PEER_DELAY_S = 0.001
NEWER_VERSION = "v9"
# Parts of prompts that streams share, and the number of them in use.
COMMON_PART = 1
FIRST_STREAM_PART = 100
STREAM_PARTS = 7


class World:
    """The processes of a run.

    Parameters
    ----------
    scenario : Scenario

    Attributes
    ----------
    processes : dict
        Live GatewayProcess by its port.
    engines : dict
        Live Engine by its port.
    ended : list of (float, str, tuple of int)
        Time, name and fatal parts of each upstream that has ended.
    arrivals : list of (float, str, str, tuple of int)
        Time, upstream, request and parts of each request that came to one.
    blocked : Counter
        How often gateways have begun to block each part.
    trouble_until : float
        Time from which the faults played so far are over.
    log : list of tuple
        What happened, in order.
    """

    def __init__(self, *, scenario):
        self.scenario = scenario
        self.random = random.Random(f"world {scenario.seed}")
        self.log = []
        self.errors = []
        self.clock = SearchClock(
            now=START_S - PREPARATION_S, on_error=self.note_error
        )
        self.store = SearchStore(
            clock=self.clock, page_size=scenario.page_size
        )
        self.links = Links()
        self.processes = {}
        self.engines = {}
        self.entries = {}
        self.ended = []
        self.arrivals = []
        self.last = {"any": None, "worker": None}
        self.lost_share = 0.0
        self.deaf = set()
        self.mute = set()
        self.blocked = collections.Counter()
        self.trouble_until = START_S
        self.process_count = 0
        self.engine_count = 0
        self.lengths = {}
        self.fatal_parts = {
            plan.parts[-1] for plan in scenario.jobs if plan.is_fatal
        }
        self.jobs = []
        self.streams = []
        self.start()

    def start(self):
        """Start all processes and plan what clients do."""
        scenario = self.scenario
        self.store.change({CONFIGURATION_KEY: b"1"})
        for number in range(scenario.upstreams):
            version = f"v{number % scenario.versions + 1}"
            self.start_engine(port=number + 1, version=version)
        for number in range(scenario.fronts + scenario.workers):
            is_worker = number >= scenario.fronts
            kind = "worker" if is_worker else "front"
            process = GatewayProcess(
                world=self,
                name=f"{kind}-{number}",
                port=FIRST_GATEWAY_PORT + number,
                is_worker=is_worker,
            )
            self.processes[process.port] = process
            # They start within a moment, in no fixed order.
            self.clock.callLater(self.random.random() * 0.3, process.start)
        for plan in scenario.jobs:
            client = JobClient(world=self, plan=plan)
            self.jobs.append(client)
            for name in client.list_items():
                self.lengths[name] = plan.events
            self.clock.callLater(PREPARATION_S + plan.at, client.send)
        if scenario.streams:
            self.clock.callLater(PREPARATION_S, self.open_stream)

    def open_stream(self):
        """Let a client begin a stream, and the next one a little later."""
        scenario = self.scenario
        if self.clock.now > START_S + scenario.stream_seconds:
            return
        number = len(self.streams)
        part = FIRST_STREAM_PART + number % STREAM_PARTS
        client = StreamClient(
            world=self,
            name=f"q{number}",
            parts=(COMMON_PART, part),
            count=scenario.stream_events,
        )
        self.lengths[client.name] = scenario.stream_events
        self.streams.append(client)
        client.send()
        self.clock.callLater(
            self.random.expovariate(scenario.streams), self.open_stream
        )

    def draw_skew(self):
        """Draw the error of a gateway's wall clock, seconds."""
        skew = self.scenario.skew
        return self.random.uniform(-skew, skew) if skew else 0.0

    def count_process(self):
        self.process_count += 1
        return self.process_count

    def find_length(self, name):
        """Return the number of events of the answer to a request."""
        return self.lengths[name]

    def note(self, kind, *values):
        self.log.append((round(self.clock.now - START_S, 4), kind, *values))

    def note_error(self, error):
        self.errors.append(repr(error))
        self.note("error", repr(error))

    def note_run(self, engine, run):
        """Note that an upstream has begun to work on a request."""
        self.note("run", engine.name, run.identifier, run.process.name)
        self.last["any"] = engine
        if run.process.is_worker:
            self.last["worker"] = run.process

    def note_arrival(self, engine, run):
        self.arrivals.append(
            (self.clock.now, engine.name, run.identifier, run.parts)
        )

    def note_trouble(self, seconds=0.0):
        """Note that a fault goes on for some seconds from now."""
        self.trouble_until = max(self.trouble_until, self.clock.now + seconds)

    # Gateways.

    def find_process(self, host):
        """Return the live process at an address, None without one."""
        for port, process in self.processes.items():
            if find_host(port) == host:
                return process
        return None

    def list_processes(self, who="any"):
        """Return the live gateways of a role, in a fixed order."""
        if who == "last" and self.last["worker"] is not None:
            worker = self.last["worker"]
            return [] if worker.is_dead else [worker]
        return [
            process
            for _, process in sorted(self.processes.items())
            if who not in ("front", "worker")
            or process.is_worker == (who == "worker")
        ]

    def pick_front(self):
        """Return a front for a client's next connection, None without one."""
        fronts = self.list_processes("front")
        return self.random.choice(fronts) if fronts else None

    def loses_datagram(self, source, target):
        """Return whether a datagram does not arrive."""
        return (
            source in self.mute
            or target in self.deaf
            or (self.lost_share and self.random.random() < self.lost_share)
        )

    def find_peer_delay(self, source, target):
        """Return the time of a datagram between two gateways."""
        data_centres = {
            process.gateway.settings.data_centre
            for process in (source, target)
        }
        if len(data_centres) == 1:
            return PEER_DELAY_S
        return max(PEER_DELAY_S, self.scenario.peer_seconds)

    def kill_process(self, process):
        """End a gateway's process."""
        self.note("kill", process.name)
        self.processes.pop(process.port, None)
        process.kill()

    def stop_process(self, process, *, seconds):
        """Let a gateway end in an orderly way, and start it anew later."""

        def finish():
            if not process.is_dead:
                self.kill_process(process)
                self.clock.callLater(seconds, self.restart_process, process)
                self.note_trouble(seconds)

        self.note("stop", process.name)
        process.stop(finish)

    def retire_process(self, process, *, seconds):
        """Order that a machine is drained, and end it after some seconds.

        Another machine takes its place.
        """

        def finish():
            if not process.is_dead:
                self.kill_process(process)
            self.add_process(is_worker=True)

        self.note("retire", process.name)
        key = RETIREMENT_PREFIX + process.name
        self.store.change({key: str(seconds).encode()})
        self.clock.callLater(seconds, finish)

    def add_process(self, *, is_worker):
        """Start a gateway with a new name at a new address."""
        number = self.count_process()
        self.start_process(
            name=f"{'worker' if is_worker else 'front'}-{number}",
            port=FIRST_GATEWAY_PORT + number,
            is_worker=is_worker,
        )
        self.note_trouble()

    def restart_process(self, earlier):
        """Start a gateway anew in place of one that has ended."""
        self.start_process(
            name=earlier.name, port=earlier.port, is_worker=earlier.is_worker
        )

    def start_process(self, *, name, port, is_worker):
        self.note("start", name)
        process = GatewayProcess(
            world=self, name=name, port=port, is_worker=is_worker
        )
        self.processes[port] = process
        process.start()

    # Upstreams.

    def start_engine(self, *, port, version, name=None):
        """Start an upstream and register it."""
        self.engine_count += 1
        name = name or f"u{self.engine_count}"
        engine = Engine(world=self, name=name, port=port, version=version)
        self.engines[port] = engine
        self.note("up", name, port)
        self.register_engine(engine)

    def register_engine(self, engine):
        """Write the entry of an upstream."""
        content = encode_upstream(
            port=engine.port,
            slots=engine.slots,
            version=engine.version,
            started_at_ms=engine.started_at_ms,
            is_ready=not engine.is_leaving,
        )
        key = build_upstream_key(engine.name)
        self.entries[key] = content
        self.store.change({key: content})

    def find_engine(self, port):
        """Return the live upstream at a port, None without one."""
        return self.engines.get(port)

    def list_engines(self, who="any"):
        """Return the live upstreams, in a fixed order."""
        if who == "last" and self.last["any"] is not None:
            engine = self.last["any"]
            return [engine] if engine.is_alive else []
        return [engine for _, engine in sorted(self.engines.items())]

    def end_engine(self, engine, *, back, seconds, fatal=()):
        """End an upstream, which comes back later.

        Parameters
        ----------
        engine : Engine
        back : str
            ``same``, ``other``, ``elsewhere`` or ``newer`` (elsewhere, with a
            newer software version).
        seconds : float
        fatal : tuple of int, optional
            Parts that have ended it.
        """
        if self.engines.get(engine.port) is not engine:
            return
        del self.engines[engine.port]
        self.ended.append((self.clock.now, engine.name, fatal))
        self.note("end", engine.name, back)
        engine.end()
        for process in self.processes.values():
            process.gateway.pool.drop_address((ADDRESS, engine.port))
        key = build_upstream_key(engine.name)
        self.clock.callLater(
            self.random.uniform(MIN_EXPIRY_S, MAX_EXPIRY_S),
            self.expire_entry,
            key,
            self.entries[key],
        )
        self.clock.callLater(seconds, self.return_engine, engine, back)
        self.note_trouble(seconds)

    def expire_entry(self, key, content):
        """Drop the entry of an upstream unless it has registered again."""
        if self.entries.get(key) == content:
            del self.entries[key]
            self.store.change({}, [key])

    def lapse_entries(self, engines, *, seconds):
        """Let entries of live upstreams expire, and be back some time later.

        They expire while the store is unavailable.
        """
        keys = [build_upstream_key(engine.name) for engine in engines]
        self.store.change({}, [key for key in keys if key in self.entries])
        for engine in engines:
            delay = self.random.uniform(0.0, seconds)
            self.clock.callLater(delay, self.renew_entry, engine)
        self.note_trouble(seconds)

    def renew_entry(self, engine):
        if engine.is_alive:
            self.register_engine(engine)

    def return_engine(self, engine, back):
        port = engine.port
        version = engine.version
        if back in ("elsewhere", "newer"):
            port = self.find_free_port()
        if back == "newer":
            version = NEWER_VERSION
        self.start_engine(
            port=port,
            version=version,
            name=engine.name if back == "same" else None,
        )

    def find_free_port(self):
        """Return a port that no upstream has had."""
        return self.engine_count + 1

    def end_by_fatal(self, engine, run):
        """End an upstream that has begun to answer a fatal request."""
        fatal = tuple(sorted(self.fatal_parts.intersection(run.parts)))
        self.end_engine(
            engine, back="same", seconds=FATAL_RETURN_S, fatal=fatal
        )

    def is_fatal(self, run):
        return not self.fatal_parts.isdisjoint(run.parts)

    def close_run(self, run):
        """Close the connection of a request at its upstream."""
        if not run.is_open:
            return
        run.is_open = False
        engine = self.engines.get(run.connection.address[1])
        if engine is not None:
            engine.cancel(run)

    # What clients have.

    def list_open_items(self):
        """Return the accepted items with a sound prompt without a result.

        Returns
        -------
        list of (JobClient, str)
        """
        return [
            (client, item)
            for client in self.jobs
            if client.accepted_at is not None and not client.plan.is_fatal
            for item in client.list_items()
            if build_result_key(client.name, item) not in self.store.entries
        ]

    def is_complete(self):
        """Return whether clients have all that they can get."""
        return (
            all(client.is_done for client in (*self.jobs, *self.streams))
            and self.clock.now
            > START_S + self.scenario.stream_seconds * bool(self.streams)
            and not self.list_open_items()
        )

    def find_deadline(self, seconds):
        """Return the time until which all accepted items must be done."""
        accepted = [
            client.accepted_at
            for client in self.jobs
            if client.accepted_at is not None
        ]
        return max(self.trouble_until, max(accepted, default=-math.inf)) + (
            seconds
        )
