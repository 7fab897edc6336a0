"""Fixtures: two daemons on an in-memory network."""

import time

import pytest
from twisted.internet import task

from hollyspan_core.settings.settings import Settings
from hollyspan_core.settings.timing import Timing
from hollyspan_entry.configurations import ConfigurationHolder
from hollyspan_entry.instances import Seed
from hollyspan_entry.peers.counters import PeerCounters
from hollyspan_entry.peers.datagrams import Datagrams
from hollyspan_entry.peers.heartbeats import Heartbeats
from hollyspan_entry.peers.owners import Owners
from hollyspan_entry.peers.receiver import MessageReceiver
from hollyspan_entry.runtime import Runtime
from hollyspan_entry.upstreams import Upstream
from hollyspan_entry.upstreams import UpstreamRegistry
from hollyspan_policy.membership import MemberTable
from hollyspan_policy.membership import Probes

KEY = b"key"
# Bytes that a socket is read for in one turn of the loop.
MAX_THROUGHPUT_BYTES = 262_144
PORTS = {"a": 7001, "b": 7002}


class Daemon:
    """Peer messaging of one daemon on an in-memory network."""

    def __init__(self, *, name, network):
        self.network = network
        self.maxThroughput = MAX_THROUGHPUT_BYTES
        self.runtime = build_runtime(name, clock=network.clock)
        self.runtime.owners = Owners(runtime=self.runtime)
        probes = Probes(silence_timeout=6.0)
        self.receiver = MessageReceiver(
            runtime=self.runtime, probes=probes, remote_timeout=6.0
        )
        self.counters = PeerCounters()
        self.datagrams = Datagrams(
            key=KEY,
            counters=self.counters,
            receive=self.receiver.receive,
            reactor=network.clock,
        )
        self.datagrams.transport = self
        self.heartbeats = Heartbeats(
            runtime=self.runtime,
            datagrams=self.datagrams,
            receiver=self.receiver,
            probes=probes,
        )
        self.runtime.upstreams.load_listeners.append(
            self.heartbeats.notices.handle_load_change
        )

    def write(self, datagram, address):
        """Deliver a datagram; stands in for the UDP transport."""
        self.network.deliver(datagram, address[1])


class Network:
    """Network that delivers datagrams by port and counts them."""

    def __init__(self):
        self.clock = task.Clock()
        self.daemons = {}
        self.delivered = 0

    def add(self, name):
        """Add a daemon that finds the others through the instance list."""
        daemon = Daemon(name=name, network=self)
        self.daemons[PORTS[name]] = daemon
        return daemon

    def deliver(self, datagram, port):
        """Deliver a datagram to the daemon at a port."""
        self.delivered += 1
        if port in self.daemons:
            self.daemons[port].datagrams.datagramReceived(datagram, None)

    def exchange_heartbeats(self):
        """Make all daemons send their heartbeats."""
        for daemon in self.daemons.values():
            daemon.heartbeats.send_heartbeats(to_remote=True)


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
    """Return a network with two daemons that have exchanged heartbeats."""
    network = Network()
    first = network.add("a")
    second = network.add("b")
    # Only the first daemon has a seed; the second one discovers the first by
    # its heartbeat.
    first.runtime.seeds = {
        "b": Seed(
            instance="b",
            data_centre="attiki-a",
            address="127.0.0.1",
            peer_port=PORTS["b"],
        )
    }
    network.exchange_heartbeats()
    network.exchange_heartbeats()
    return network, first, second
