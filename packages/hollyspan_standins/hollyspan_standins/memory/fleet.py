"""In-memory fleet of gateways and upstreams in simulated time."""

import random

from twisted.internet import defer

from hollyspan_core.errors import StreamLostError
from hollyspan_core.workspaces import digest_key
from hollyspan_gateway.store import Store
from hollyspan_policy.hashing import hash_parts

from .builders import build_entry
from .builders import build_events
from .builders import build_head
from .dialect import PlainDialect
from .links import Links
from .links import LinkState
from .network import ADDRESS
from .network import find_host
from .network import MemoryNetwork
from .peer_call import PeerCall
from .pool import RESET_DELAY_S
from .request import MemoryRequest
from .send import Send
from .wire import MemoryWire

__all__ = ["MemoryFleet"]

# Time of an upstream from a request to the head of its answer, and between two
# events.
START_DELAY_S = 0.05
EVENT_INTERVAL_S = 0.05
# Time of a faulty upstream until it fails a run.
FAULT_DELAY_S = 0.002
EVENTS_PER_ANSWER = 16
# Time from the end of an upstream to the start of the next one at its address.
RESTART_DELAY_S = 2.0
CLOCK_STEP_S = 0.01
# Share of the datagrams that is lost when some are.
LOST_SHARE = 0.3


class MemoryFleet:
    """Gateways that share upstreams, a network and a store.

    Parameters
    ----------
    reactor : task.Clock
    build_gateway : callable
        Returns a gateway for the keywords `name`, `upstreams`, `routes` and
        `runs_batch`.
    upstreams : int, optional
        Number of upstreams.
    versions : sequence of str, optional
        Software versions of the upstreams, in turn.
    tells_start : bool, optional
        Whether entries have the start times of upstreams.
    options : dict, optional
        More keywords for `build_gateway`.

    Attributes
    ----------
    gateways : list of Gateway
    network : MemoryNetwork
    links : Links
        From gateways to upstreams.
    peer_calls : list of PeerCall
        Everything that gateways have asked each other over HTTP.
    silent_upstreams : set of str
        Names of upstreams that send nothing, and go on when they are removed.
    opens_in_silence : bool
        Whether new connections to silent upstreams are established. The
        system does so for a stopped process until its queue is full.
    faults : dict
        What upstreams that fail each run do in place of an answer, by name: a
        function that is called with the connection of a request.
    start_delays : dict
        Time of an upstream to the head of an answer, by name: a function that
        is called with the number of its open requests.
    fatal_parts : set of int
        Parts of prompts that end each upstream that begins to answer them.
    fatal_bodies : set of str
        Bodies of requests that end each upstream that begins to answer them.
    rate_limits : dict
        Requests a second that an upstream accepts from all gateways, by name;
        it names them in its answers.
    versions : dict
        Software version of each upstream that was started, by name; each
        event tells that of its upstream.
    sent : list of Send
        Everything that was sent to upstreams, in order.
    ended : list of (float, str)
        Time and name of each upstream that has ended.
    restarts : bool
        Whether ended upstreams start again.
    born : dict
        Start time of each upstream's process, by name.
    listed : dict
        What the store tells of upstreams that have started again without a
        word to it: version and start time, by name.
    has_reports : bool
        Whether upstreams tell their start time when asked.
    reports : list of (float, str)
        Time and name of each upstream that was asked for its report.
    """

    def __init__(
        self,
        *,
        reactor,
        build_gateway,
        upstreams=6,
        versions=("v1",),
        tells_start=True,
        options=None,
    ):
        self.reactor = reactor
        self.build_gateway = build_gateway
        self.options = options or {}
        self.gateways = []
        self.network = MemoryNetwork()
        self.links = Links()
        self.peer_calls = []
        self.silent_upstreams = set()
        self.opens_in_silence = True
        self.random = random.Random(1)
        self.upstreams = {}
        self.versions = {}
        self.faults = {}
        self.start_delays = {}
        self.fatal_parts = set()
        self.fatal_bodies = set()
        self.rate_limits = {}
        self.sent = []
        self.ended = []
        self.started_count = 0
        self.request_count = 0
        self.restarts = True
        self.born = {}
        self.listed = {}
        self.tells_start = tells_start
        self.has_reports = tells_start
        self.reports = []
        for number in range(upstreams):
            self.start_upstream(
                port=number + 1, version=versions[number % len(versions)]
            )

    def add_gateway(self, **options):
        """Add a gateway, which greets the others."""
        port = 1000 + len(self.gateways)
        gateway = self.connect_gateway(port, **options)
        self.gateways.append(gateway)
        gateway.stream_versions.note_first_start()
        return gateway

    def lose_datagrams(self):
        """Lose a share of the datagrams of all gateways from now on."""
        for gateway in self.gateways:
            transport = gateway.peers.transport
            write = transport.write

            def write_some(datagram, address, write=write):
                if self.random.random() >= LOST_SHARE:
                    write(datagram, address)

            transport.write = write_some

    def kill_gateway(self, number):
        """End a gateway's process without a word to the others."""
        gateway = self.gateways[number]
        gateway.peers.stopProtocol()
        gateway.peers.transport = None
        self.network.gateways.pop(1000 + number)
        gateway.store = build_dead_store(self.reactor)
        for call in self.peer_calls:
            if gateway in (call.target, call.connection.pool.gateway):
                call.break_off()
        for send in self.sent:
            if send.gateway is gateway:
                send.is_ended = True

    def restart_gateway(self, number, **options):
        """Replace a gateway by a new process of the same name."""
        self.gateways[number].peers.stopProtocol()
        gateway = self.connect_gateway(
            1000 + number, incarnation=self.started_count + 2, **options
        )
        self.gateways[number] = gateway
        return gateway

    def connect_gateway(self, port, **options):
        name = f"g{port}"
        gateway = self.build_gateway(
            name=name, upstreams=(), **{**self.options, **options}
        )
        gateway.dialect.decode_upstream = self.decode_upstream
        pool = gateway.pool
        pool.gateway = gateway
        pool.on_send = lambda sent: self.handle_send(gateway, sent)
        pool.unreachable = {(ADDRESS, number) for number in range(1, 100)}
        pool.drops_new = lambda address: (
            address[0] == ADDRESS
            and (
                self.links.drops_new(gateway, address[1])
                or self.is_full(address[1])
            )
        )
        pool.refuses_new = lambda address: self.refuses_new(gateway, address)
        pool.resets_new = lambda address: (
            address[0] == ADDRESS
            and self.links.resets_new(gateway, address[1])
        )
        self.network.join(gateway, port)
        members = {
            f"g{other}": (find_host(other), other)
            for other in self.network.gateways
        }
        for other in self.network.gateways.values():
            other.peers.add(members)
        gateway.peers.startProtocol()
        gateway.guard.records.start()
        self.list_upstreams(gateway)
        return gateway

    def list_upstreams(self, gateway):
        """Tell a gateway which upstreams there are, as the store does."""
        entries = {
            name: self.build_listed(name, port)
            for name, port in self.upstreams.items()
        }
        recheck_at = gateway.directory.update(entries)
        if recheck_at is not None:
            delay = recheck_at - self.reactor.seconds()
            self.reactor.callLater(delay, self.list_upstreams, gateway)
        gateway.stream_versions.version_records.schedule_update()
        gateway.pool.unreachable -= {
            (ADDRESS, port) for port in self.upstreams.values()
        }

    def decode_upstream(self, entry):
        """Return what an entry in the store tells of its upstream."""
        name = entry.key.rpartition("/")[2]
        return self.build_listed(name, self.upstreams[name])

    def build_listed(self, name, port):
        """Return the entry of an upstream in the store."""
        version, started_at_ms = self.listed.get(
            name, (self.versions[name], self.born[name])
        )
        return build_entry(
            name, port=port, version=version, started_at_ms=started_at_ms
        )

    def start_upstream(self, *, port, version="v1"):
        """Start an upstream and list it at all gateways."""
        self.started_count += 1
        name = f"u{self.started_count}"
        self.upstreams[name] = port
        self.versions[name] = version
        self.born[name] = self.choose_start()
        for gateway in self.gateways:
            self.list_upstreams(gateway)

    def find_gateway(self, host):
        """Return the live gateway at an address, None without one."""
        for port, gateway in self.network.gateways.items():
            if find_host(port) == host:
                return gateway
        return None

    def refuses_new(self, gateway, address):
        """Return whether a new connection to an address is refused."""
        host, port = address
        if host != ADDRESS:
            return self.find_gateway(host) is None
        return self.links.refuses_new(gateway, port)

    def set_links(self, gateway, state, *, ports=None):
        """Set the state of a gateway's links to upstreams.

        Parameters
        ----------
        gateway : Gateway
        state : LinkState
        ports : collection of int, optional
            Ports of the upstreams; all by default.
        """
        for port in ports or range(1, 100):
            self.links.set(gateway, port, state)
        for send in self.sent:
            port = send.connection.address[1]
            if (
                send.gateway is gateway
                and send.is_open()
                and self.links.breaks_open(gateway, port)
            ):
                send.is_ended = True
                send.connection.exchange.on_failure(
                    StreamLostError("connection reset")
                )
        for address in list(gateway.pool.idle):
            if address[0] == ADDRESS and self.links.breaks_open(
                gateway, address[1]
            ):
                gateway.pool.drop_address(address)

    def restore_links(self, gateway):
        """Make a gateway's links to upstreams whole again."""
        self.set_links(gateway, LinkState.WHOLE)

    def is_held_up(self, send):
        """Return whether the bytes of an answer do not arrive now."""
        return send.upstream in self.silent_upstreams or self.links.hangs(
            send.gateway, send.connection.address[1]
        )

    def is_full(self, port):
        """Return whether new connections to a port of an upstream time out."""
        return not self.opens_in_silence and any(
            self.upstreams.get(name) == port for name in self.silent_upstreams
        )

    def start_peer_call(self, gateway, connection):
        """Let another gateway answer a call."""
        ports = {each: port for port, each in self.network.gateways.items()}
        if gateway not in ports:
            # Its process has ended.
            return
        target = self.find_gateway(connection.address[0])
        if target is None:
            self.reactor.callLater(
                START_DELAY_S,
                connection.exchange.on_failure,
                StreamLostError("connection closed"),
            )
            return
        call = PeerCall(
            reactor=self.reactor,
            connection=connection,
            sender=find_host(ports[gateway]),
            target=target,
        )
        self.peer_calls.append(call)
        call.start()

    def handle_send(self, gateway, connection):
        """Let the upstream at an address answer a request."""
        if connection.address[0] != ADDRESS:
            self.start_peer_call(gateway, connection)
            return
        names = [
            name
            for name, port in self.upstreams.items()
            if port == connection.address[1]
        ]
        if connection.exchange.target == PlainDialect.report_target:
            self.reactor.callLater(
                FAULT_DELAY_S, self.report, gateway, names, connection
            )
            return
        send = Send(
            time=self.reactor.seconds(),
            gateway=gateway,
            upstream=names[0],
            connection=connection,
        )
        self.sent.append(send)
        if connection.is_reset or self.links.resets_requests(
            gateway, connection.address[1]
        ):
            self.reactor.callLater(RESET_DELAY_S, self.reset, send)
            return
        fault = self.faults.get(send.upstream)
        if fault is not None:
            self.reactor.callLater(FAULT_DELAY_S, self.fail, send, fault)
            return
        self.reactor.callLater(
            self.find_start_delay(send.upstream), self.begin_answer, send
        )

    def report(self, gateway, names, connection):
        """Let an upstream answer when it has started."""
        port = connection.address[1]
        if self.links.hangs(gateway, port) or connection.is_cancelled:
            return
        if connection.is_reset or names != [
            name for name, each in self.upstreams.items() if each == port
        ]:
            connection.exchange.on_failure(StreamLostError("connection reset"))
            return
        (name,) = names
        self.reports.append((self.reactor.seconds(), name))
        if self.has_reports:
            connection.answer(200, body=b"%d" % self.born[name])
        else:
            connection.answer(404)

    def find_start_delay(self, name):
        """Return the seconds until an upstream begins its next answer."""
        if name not in self.start_delays:
            return START_DELAY_S
        return self.start_delays[name](self.count_open(name))

    def count_open(self, name):
        """Return the number of requests in flight at an upstream."""
        return sum(
            send.upstream == name and send.is_open() for send in self.sent
        )

    def fail(self, send, fault):
        """Let an upstream fail a run."""
        if send.is_open():
            send.is_ended = True
            fault(send.connection)

    def reset(self, send):
        """Reset the connection of a request, which has not run."""
        if send.is_open():
            send.is_ended = True
            send.connection.exchange.on_failure(
                StreamLostError("connection reset")
            )

    def begin_answer(self, send):
        if not send.is_open():
            return
        if self.is_held_up(send):
            self.reactor.callLater(START_DELAY_S, self.begin_answer, send)
            return
        if self.is_fatal(send):
            send.has_ended_upstream = send.upstream in self.upstreams
            self.end_upstream(send.upstream)
            return
        resume = send.connection.headers[b"resume"]
        send.last_event = 0 if resume == b"None" else int(resume)
        headers = []
        if send.upstream in self.rate_limits:
            limit = self.rate_limits[send.upstream]
            headers.append((b"limit", str(limit).encode()))
        send.connection.answer(200, headers=headers, is_complete=False)
        self.continue_answer(send)

    def is_fatal(self, send):
        """Return whether a request ends the upstream that begins it."""
        fatal = {hash_parts(body) for body in self.fatal_bodies}
        return send.fingerprint in fatal or bool(
            self.fatal_parts.intersection(send.parts)
        )

    def continue_answer(self, send):
        if not send.is_open():
            return
        if self.is_held_up(send):
            self.reactor.callLater(
                EVENT_INTERVAL_S, self.continue_answer, send
            )
            return
        if send.last_event >= EVENTS_PER_ANSWER:
            send.is_ended = True
            send.connection.end()
            return
        send.last_event += 1
        event = build_events(
            send.last_event,
            send.last_event,
            text=self.versions[send.upstream],
        )
        send.connection.exchange.on_data(event)
        self.reactor.callLater(EVENT_INTERVAL_S, self.continue_answer, send)

    def end_upstream(self, name):
        """End an upstream, which breaks its connections."""
        port = self.upstreams.pop(name, None)
        if port is None:
            return
        self.ended.append((self.reactor.seconds(), name))
        for gateway in self.gateways:
            gateway.pool.unreachable.add((ADDRESS, port))
            gateway.pool.drop_address((ADDRESS, port))
        if self.restarts:
            self.reactor.callLater(
                RESTART_DELAY_S,
                lambda: self.start_upstream(
                    port=port, version=self.versions[name]
                ),
            )
        self.break_connections(name)

    def choose_start(self):
        """Return the start time of an upstream, None if it tells none."""
        return self.started_count if self.tells_start else None

    def replace_upstream(self, name, *, version, delay):
        """Let an upstream end and start again without a word to the store.

        Parameters
        ----------
        name : str
        version : str
            Of the software of its next process.
        delay : float
            Seconds in which nothing listens at its address.
        """
        port = self.upstreams[name]
        self.listed.setdefault(name, (self.versions[name], self.born[name]))
        restarts, self.restarts = self.restarts, False
        self.end_upstream(name)
        self.restarts = restarts
        self.reactor.callLater(
            delay, self.begin_next_process, name, port, version
        )

    def begin_next_process(self, name, port, version):
        self.started_count += 1
        self.upstreams[name] = port
        self.versions[name] = version
        self.born[name] = self.choose_start()
        for gateway in self.gateways:
            gateway.pool.unreachable.discard((ADDRESS, port))

    def tell_store(self):
        """Let the store tell of the processes that have started again."""
        self.listed.clear()
        for gateway in self.gateways:
            self.list_upstreams(gateway)

    def break_connections(self, name):
        """Break the open connections to an upstream."""
        for send in self.sent:
            if send.upstream == name and send.is_open():
                send.is_ended = True
                send.connection.exchange.on_failure(
                    StreamLostError("connection closed")
                )

    def request(
        self,
        identifier,
        parts=(),
        *,
        gateway=None,
        resume=None,
        resumes=None,
        body=None,
        key=None,
        workspace=None,
    ):
        """Send a client's request and return its MemoryRequest.

        Parameters
        ----------
        identifier : str
        parts : tuple of int, optional
            Shared parts of its prompt.
        gateway : Gateway, optional
            A random one by default.
        resume : int, optional
            Last event that the client has received.
        resumes : str, optional
            Identifier of the request that brought its first event.
        body : str, optional
            The same for a request that comes again; by default no other
            request has it.
        key : str, optional
            Key of the client's workspace.
        workspace : str, optional
            Name of a workspace, which is also its key's digest in a table of
            `build_table`.
        """
        gateway = gateway or self.random.choice(self.gateways)
        self.request_count += 1
        request = MemoryRequest(reactor=self.reactor, identifier=identifier)
        request.gateway = gateway
        head = build_head(
            identifier,
            shared_parts=parts,
            resume_after=resume,
            resumes=resumes,
            fingerprint=hash_parts(body or f"request {self.request_count}"),
            key_digest=workspace if key is None else digest_key(key),
        )
        work = defer.ensureDeferred(gateway.online.answer(request, head))
        request.on_disconnect = work.cancel
        work.addErrback(gateway.online.handle_failure, request, head)
        return request

    def advance(self, seconds):
        """Let simulated time pass."""
        for _ in range(round(seconds / CLOCK_STEP_S)):
            self.reactor.advance(CLOCK_STEP_S)

    def list_sends_of(self, body, *, after=0.0):
        """Return the sends of requests with a body after a time."""
        return [
            send
            for send in self.sent
            if send.fingerprint == hash_parts(body) and send.time > after
        ]

    def list_sends(self, part, *, after=0.0):
        """Return the sends with a part in their prompts after a time."""
        return [
            send
            for send in self.sent
            if part in send.parts and send.time > after
        ]


def build_dead_store(reactor):
    """Return the store of a gateway that has ended: nothing reaches it."""
    wire = MemoryWire(reactor=reactor)
    wire.is_down = True
    return Store(wire=wire, reactor=reactor, create_token=bytes)
