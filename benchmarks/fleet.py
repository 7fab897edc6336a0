"""A fleet around one daemon, played by one process over real sockets."""

import json
import time

from twisted.internet import protocol
from twisted.internet import task
from twisted.protocols import policies
from twisted.web import resource
from twisted.web import server

from hollyspan_core.messages import build_heartbeat
from hollyspan_core.messages import DaemonState
from hollyspan_core.messages import encode_message
from hollyspan_core.messages import Heartbeat
from hollyspan_core.messages import InFlight
from hollyspan_standins.instances.slice import build_slice_list

__all__ = ["Fleet"]

ADDRESS = "127.0.0.1"
HEARTBEAT_SECONDS = 0.5
FAR_HEARTBEAT_SECONDS = 2.0


class Counter(policies.ProtocolWrapper):
    """Counts the bytes of one connection."""

    def dataReceived(self, data):
        self.factory.size += len(data)
        super().dataReceived(data)

    def write(self, data):
        self.factory.size += len(data)
        super().write(data)

    def writeSequence(self, data):
        self.factory.size += sum(len(part) for part in data)
        super().writeSequence(data)


class CountingFactory(policies.WrappingFactory):
    """Counts the bytes of a site."""

    protocol = Counter

    def __init__(self, wrapped):
        super().__init__(wrapped)
        self.size = 0


class Answers(resource.Resource):
    """Answers each path with JSON from a function."""

    isLeaf = True

    def __init__(self, *, answer):
        super().__init__()
        self.answer = answer

    def render_GET(self, request):
        request.setHeader(b"content-type", b"application/json")
        return json.dumps(self.answer(request.path.decode())).encode()


class Peers(protocol.DatagramProtocol):
    """Speaks for all other daemons.

    Parameters
    ----------
    states : list of DaemonState
    key : bytes
    target : int
        Port of the daemon under test.
    """

    def __init__(self, *, states, key, target):
        self.states = states
        self.key = key
        self.target = target
        self.size = 0

    def datagramReceived(self, datagram, addr):
        self.size += len(datagram)

    def beat(self, states, loads):
        """Send a heartbeat of each daemon."""
        for state in states:
            state.sequence += 1
            heartbeat = Heartbeat(sender=state, in_flight=loads)
            datagram = encode_message(build_heartbeat(heartbeat), key=self.key)
            self.size += len(datagram)
            self.transport.write(datagram, (ADDRESS, self.target))


class Fleet:
    """Peers, engines and the instance list around one daemon.

    Parameters
    ----------
    reactor : twisted reactor
    daemon : Daemon
        The daemon under test, as the launcher describes it.
    near, far, upstreams : int
        Daemons of its data centre, daemons of others, engines of its own.
    """

    def __init__(self, *, reactor, daemon, key, near, far, upstreams):
        self.daemon = daemon
        self.upstreams = upstreams
        self.list = CountingFactory(
            server.Site(Answers(answer=self.answer_list))
        )
        self.engines = CountingFactory(
            server.Site(Answers(answer=answer_engine))
        )
        self.list_port = reactor.listenTCP(0, self.list, interface=ADDRESS)
        self.engine_port = reactor.listenTCP(
            0, self.engines, interface=ADDRESS
        )
        self.near = [self.describe(f"near-{i}", "") for i in range(near)]
        self.far = [
            self.describe(f"far-{i}", f"-{i // 2}") for i in range(far)
        ]
        self.peers = Peers(
            states=self.near + self.far, key=key, target=daemon.peer_port
        )
        self.peer_port = reactor.listenUDP(0, self.peers, interface=ADDRESS)
        # Known past the end of the ports, when the last polls come in.
        self.engine_number = self.engine_port.getHost().port
        self.peer_number = self.peer_port.getHost().port
        self.loops = [
            task.LoopingCall(self.beat_near),
            task.LoopingCall(self.beat_far),
        ]
        for loop, seconds in zip(
            self.loops, (HEARTBEAT_SECONDS, FAR_HEARTBEAT_SECONDS)
        ):
            loop.start(seconds, now=False)

    def beat_near(self):
        """Send the heartbeats of the daemons of the data centre."""
        # Each has one request in flight at one upstream that it may own.
        loads = [InFlight(upstream="engine-0", online=1, batch=0)]
        self.peers.beat(self.near, loads)

    def beat_far(self):
        """Send the heartbeats of the daemons of other data centres."""
        self.peers.beat(self.far, [])

    def describe(self, name, place):
        """Return the state that a daemon's heartbeats tell."""
        return DaemonState(
            instance=f"instance-{name}",
            data_centre=self.daemon.data_centre + place,
            region=self.daemon.region,
            incarnation=int(time.time()),
            sequence=0,
            leaving=False,
            generation=1,
            peer_address=ADDRESS,
            peer_port=0,
            http_port=1,
            free_slots=8,
        )

    def answer_list(self, path):
        """Return the instance list."""
        entries = [self.build_engine(i) for i in range(self.upstreams)]
        entries.extend(self.build_daemon(s) for s in self.near + self.far)
        return build_slice_list(entries, 1)

    def build_engine(self, number):
        return {
            "name": f"engine-{number}",
            "service": "pips-lm",
            "kind": "engine",
            "ports": {"http": self.engine_number},
            "zone": self.daemon.data_centre,
        }

    def build_daemon(self, state):
        return {
            "name": state.instance,
            "service": "hollyspand",
            "kind": "daemon",
            "ports": {"http": 1, "peer": self.peer_number},
            "zone": state.data_centre,
        }

    def count_bytes(self):
        """Return the bytes by kind of traffic since the start."""
        return {
            "peers": self.peers.size,
            "instance_list": self.list.size,
            "upstream_polls": self.engines.size,
        }


def answer_engine(path):
    if path == "/health":
        return {"state": "serving"}
    if path == "/v1/load":
        return {
            "slots": 8,
            "running": 0,
            "waiting": 0,
            "tokens_per_second": 0.0,
            "reported_at": time.time(),
        }
    return {"events": [], "next": 0}
