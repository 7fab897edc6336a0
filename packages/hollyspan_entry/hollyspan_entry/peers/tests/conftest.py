"""Two daemons on a network in memory."""

import time

import pytest
from twisted.internet import task

from hollyspan_core.settings.settings import Settings
from hollyspan_core.settings.timing import Timing
from hollyspan_entry.configurations import ConfigurationHolder
from hollyspan_entry.instances import Seed
from hollyspan_entry.peers.beats import Beats
from hollyspan_entry.peers.counters import PeerCounters
from hollyspan_entry.peers.datagrams import Datagrams
from hollyspan_entry.peers.owners import Owners
from hollyspan_entry.peers.receipts import Receipts
from hollyspan_entry.runtime import Runtime
from hollyspan_entry.upstreams import Upstream
from hollyspan_entry.upstreams import UpstreamRegistry
from hollyspan_policy.membership import MemberTable
from hollyspan_policy.membership import Probes

KEY = b"key"
PORTS = {"a": 7001, "b": 7002}


class Daemon:
    """The peers part of one daemon on a network in memory."""

    def __init__(self, *, name, network):
        self.network = network
        self.runtime = build_runtime(name, clock=network.clock)
        self.runtime.owners = Owners(runtime=self.runtime)
        probes = Probes(silence_timeout=6.0)
        self.receipts = Receipts(
            runtime=self.runtime, probes=probes, remote_timeout=6.0
        )
        self.counters = PeerCounters()
        self.datagrams = Datagrams(
            key=KEY, counters=self.counters, receive=self.receipts.receive
        )
        self.datagrams.transport = self
        self.beats = Beats(
            runtime=self.runtime,
            datagrams=self.datagrams,
            receipts=self.receipts,
            probes=probes,
        )
        self.runtime.upstreams.load_listeners.append(
            self.beats.notices.hear_load
        )

    def write(self, datagram, address):
        """Deliver a datagram, as a transport does."""
        self.network.deliver(datagram, address[1])


class Network:
    """Daemons by port; counts what it carries."""

    def __init__(self):
        self.clock = task.Clock()
        self.daemons = {}
        self.delivered = 0

    def add(self, name):
        """Add a daemon that knows the others by the instance list."""
        daemon = Daemon(name=name, network=self)
        self.daemons[PORTS[name]] = daemon
        return daemon

    def deliver(self, datagram, port):
        """Hand a datagram to the daemon at a port."""
        self.delivered += 1
        if port in self.daemons:
            self.daemons[port].datagrams.datagramReceived(datagram, None)

    def beat(self):
        """Let all daemons send their heartbeats."""
        for daemon in self.daemons.values():
            daemon.beats.send_beats(far=True)


def build_settings(name):
    return Settings(
        instance=name,
        data_centre="attiki-a",
        region="attiki",
        http_address="127.0.0.1",
        http_port=8080,
        peer_address="127.0.0.1",
        peer_port=PORTS[name],
        peer_key=KEY,
        store_url="http://127.0.0.1:1",
        instances_url="http://127.0.0.1:1",
        operator_key="operator",
        signing_key=b"signing",
        data_folder=None,
        log_path=None,
        timing=Timing(),
    )


def build_runtime(name, *, clock):
    runtime = Runtime(
        settings=build_settings(name),
        reactor=clock,
        agent=None,
        store=None,
        configurations=ConfigurationHolder(),
        upstreams=UpstreamRegistry(),
        members=MemberTable(timeout=2.0),
        root=None,
        incarnation=int(time.time()),
        create_token=None,
    )
    for upstream in (f"e{number}" for number in range(1, 13)):
        runtime.upstreams.add(build_upstream(upstream))
    return runtime


def build_upstream(name):
    return Upstream(
        name=name,
        kind="engine",
        service="pips-lm",
        data_centre="attiki-a",
        address="127.0.0.1",
        port=1,
        slots=8,
    )


@pytest.fixture(name="pair")
def make_pair():
    """Return a network, and two daemons on it that know each other."""
    network = Network()
    first = network.add("a")
    second = network.add("b")
    # One daemon knows the other; the other learns of it by a heartbeat.
    first.runtime.seeds = {
        "b": Seed(
            instance="b",
            data_centre="attiki-a",
            address="127.0.0.1",
            peer_port=PORTS["b"],
        )
    }
    network.beat()
    network.beat()
    return network, first, second
