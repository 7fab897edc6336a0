"""Fleet around one daemon, simulated by one process over real sockets."""

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
HEARTBEAT_INTERVAL_S = 0.5
REMOTE_HEARTBEAT_INTERVAL_S = 2.0


class CountingProtocol(policies.ProtocolWrapper):
    """Counts the bytes received and sent on one connection."""

    def dataReceived(self, data):
        self.factory.byte_count += len(data)
        super().dataReceived(data)

    def write(self, data):
        self.factory.byte_count += len(data)
        super().write(data)

    def writeSequence(self, data):
        self.factory.byte_count += sum(len(part) for part in data)
        super().writeSequence(data)


class CountingFactory(policies.WrappingFactory):
    """Counts the bytes of all connections of a site."""

    protocol = CountingProtocol

    def __init__(self, wrapped):
        super().__init__(wrapped)
        self.byte_count = 0


class JsonResource(resource.Resource):
    """Answers each path with the JSON document that a function returns."""

    isLeaf = True

    def __init__(self, *, answer):
        super().__init__()
        self.answer = answer

    def render_GET(self, request):
        request.setHeader(b"content-type", b"application/json")
        return json.dumps(self.answer(request.path.decode())).encode()


class SimulatedPeers(protocol.DatagramProtocol):
    """Simulates all other daemons.

    Parameters
    ----------
    states : list of DaemonState
    key : bytes
        Key that signs the messages.
    target : int
        Peer port of the daemon under test.
    """

    def __init__(self, *, states, key, target):
        self.states = states
        self.key = key
        self.target = target
        self.byte_count = 0

    def datagramReceived(self, datagram, addr):
        self.byte_count += len(datagram)

    def send_heartbeats(self, states, loads):
        """Send one heartbeat for each daemon."""
        for state in states:
            state.sequence += 1
            heartbeat = Heartbeat(sender=state, in_flight=loads)
            datagram = encode_message(build_heartbeat(heartbeat), key=self.key)
            self.byte_count += len(datagram)
            self.transport.write(datagram, (ADDRESS, self.target))


class Fleet:
    """Simulated peers, engines and instance list around one daemon.

    Parameters
    ----------
    reactor : twisted reactor
    daemon : Daemon
        The daemon under test, as the launcher describes it.
    key : bytes
        Key that signs the messages of peers.
    near, far, upstreams : int
        Numbers of daemons in its data centre, of daemons in other data
        centres, and of engines in its data centre.
    """

    def __init__(self, *, reactor, daemon, key, near, far, upstreams):
        self.daemon = daemon
        self.upstreams = upstreams
        self.list_site = CountingFactory(
            server.Site(JsonResource(answer=self.answer_list))
        )
        self.engine_site = CountingFactory(
            server.Site(JsonResource(answer=answer_engine))
        )
        self.list_port = reactor.listenTCP(
            0, self.list_site, interface=ADDRESS
        )
        self.engine_port = reactor.listenTCP(
            0, self.engine_site, interface=ADDRESS
        )
        self.near = [self.build_state(f"near-{i}", "") for i in range(near)]
        self.far = [
            self.build_state(f"far-{i}", f"-{i // 2}") for i in range(far)
        ]
        self.peers = SimulatedPeers(
            states=self.near + self.far, key=key, target=daemon.peer_port
        )
        self.peer_port = reactor.listenUDP(0, self.peers, interface=ADDRESS)
        # Stored because the last polls may arrive after the ports are closed.
        self.engine_port_number = self.engine_port.getHost().port
        self.peer_port_number = self.peer_port.getHost().port
        self.loops = [
            task.LoopingCall(self.send_local_heartbeats),
            task.LoopingCall(self.send_remote_heartbeats),
        ]
        for loop, seconds in zip(
            self.loops, (HEARTBEAT_INTERVAL_S, REMOTE_HEARTBEAT_INTERVAL_S)
        ):
            loop.start(seconds, now=False)

    def send_local_heartbeats(self):
        """Send the heartbeats of the daemons in the same data centre."""
        # Each has one request in flight at an upstream that it may own.
        loads = [InFlight(upstream="engine-0", online=1, batch=0)]
        self.peers.send_heartbeats(self.near, loads)

    def send_remote_heartbeats(self):
        """Send the heartbeats of the daemons in other data centres."""
        self.peers.send_heartbeats(self.far, [])

    def build_state(self, name, suffix):
        """Build the state that the heartbeats of a daemon report."""
        return DaemonState(
            instance=f"instance-{name}",
            data_centre=self.daemon.data_centre + suffix,
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
        """Build the instance list."""
        entries = [self.build_engine(i) for i in range(self.upstreams)]
        entries.extend(self.build_daemon(s) for s in self.near + self.far)
        return build_slice_list(entries, 1)

    def build_engine(self, number):
        return {
            "name": f"engine-{number}",
            "service": "pips-lm",
            "kind": "engine",
            "ports": {"http": self.engine_port_number},
            "zone": self.daemon.data_centre,
        }

    def build_daemon(self, state):
        return {
            "name": state.instance,
            "service": "hollyspand",
            "kind": "daemon",
            "ports": {"http": 1, "peer": self.peer_port_number},
            "zone": state.data_centre,
        }

    def count_bytes(self):
        """Return the bytes since the start by kind of traffic."""
        return {
            "peers": self.peers.byte_count,
            "instance_list": self.list_site.byte_count,
            "upstream_polls": self.engine_site.byte_count,
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
