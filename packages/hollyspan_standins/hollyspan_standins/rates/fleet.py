"""Gateways that exchange what they know of the rates of workspaces."""

import math
import random
import types

from hollyspan_core.errors import RateLimitError
from hollyspan_core.workspaces import WorkspaceTable
from hollyspan_gateway.peers import build_identifier
from hollyspan_gateway.peers.codec import decode_message
from hollyspan_gateway.peers.codec import encode_message
from hollyspan_gateway.peers.message import FleetMessage
from hollyspan_gateway.workspaces import WorkspaceRates
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.membership import choose_heartbeat_interval
from hollyspan_policy.membership import count_heartbeats_per_round

from .clock import HeapClock

__all__ = ["RateFleet"]

LOCAL_DELAY_S = 0.001
REGION_DELAY_S = 0.008
# Of a datagram with its headers, beyond its content.
HEADER_BYTES = 28
# Heartbeats that a gateway misses until it counts as failed.
MISSED_HEARTBEATS = 3


class RatePeer:
    """What one gateway knows of another one."""

    def __init__(self, *, fleet, gateway, other):
        self.fleet = fleet
        self.gateway = gateway
        self.number = other.number
        self.key = other.peers.key
        self.identifier = other.peers.identifier
        self.region = other.peers.region
        self.is_leaving = False
        self.last_seen = 0.0
        self.heartbeat_seconds = fleet.measure_detection() / MISSED_HEARTBEATS
        self.phase = fleet.random.uniform(0.0, self.heartbeat_seconds)

    def measure_memory(self, now):
        """Return for how long the other one has been there."""
        return self.fleet.measure_age(self.number)

    @property
    def last_heartbeat(self):
        """Time of the last heartbeat: one in each interval until a cut."""
        fleet = self.fleet
        now = fleet.clock.seconds()
        other = fleet.gateways[self.number]
        if not fleet.is_linked(self.gateway, other):
            now = max(fleet.cut_at, fleet.died_at.get(self.number, 0.0))
        return now - (now + self.phase) % self.heartbeat_seconds


class RateFleet:
    """Gateways with the rates of workspaces and a network.

    Parameters
    ----------
    gateways : int
    workspaces : list of Workspace
    tolerance : RateTolerance
    regions : int, optional
    seed : int, optional

    Attributes
    ----------
    admitted : dict
        Times of the admitted requests by name of the workspace.
    refused : dict
        The same, (time, retry_after), of the refused ones.
    wrongly : dict
        Number of requests by workspace that were refused while a token bucket
        of the whole fleet, without any margin, had room for them.
    messages, sent_bytes : int
        Datagrams and their sizes.
    received : dict
        Datagrams by number of the receiving gateway.
    """

    def __init__(self, *, gateways, workspaces, tolerance, regions=3, seed=1):
        self.clock = HeapClock()
        self.random = random.Random(seed)
        self.tolerance = tolerance
        self.regions = regions
        self.workspaces = {each.name: each for each in workspaces}
        self.admitted = {name: [] for name in self.workspaces}
        self.refused = {name: [] for name in self.workspaces}
        self.wrongly = dict.fromkeys(self.workspaces, 0)
        self.buckets = {}
        self.messages = self.sent_bytes = 0
        self.received = {}
        self.lost_share = 0.0
        self.groups = None
        self.dead = set()
        self.cut_at = 0.0
        self.died_at = {}
        self.started_at = {}
        self.size = gateways
        self.table = WorkspaceTable(by_digest={}, workspaces=workspaces)
        self.gateways = [self.build(number) for number in range(gateways)]
        self.update_members()

    def build(self, number, *, incarnation=1):
        """Build one gateway that knows nothing."""
        key = hash_parts(f"g{number}")
        gateway = types.SimpleNamespace(
            number=number,
            reactor=self.clock,
            settings=types.SimpleNamespace(rate_tolerance=self.tolerance),
            workspaces=types.SimpleNamespace(table=self.table),
            stream_versions=types.SimpleNamespace(
                measure_memory=lambda: self.measure_age(number)
            ),
        )
        gateway.peers = types.SimpleNamespace(
            reactor=self.clock,
            key=key,
            identifier=build_identifier(key),
            region=number % self.regions,
            incarnation=incarnation,
            live=frozenset(),
            peers={},
            sequence=0,
        )
        gateway.peers.list_live = lambda: [
            peer
            for peer in gateway.peers.peers.values()
            if peer.key in gateway.peers.live
        ]
        gateway.peers.send_change = lambda peers, **fields: self.send(
            gateway, peers, fields
        )
        gateway.workspace_rates = WorkspaceRates(gateway=gateway)
        return gateway

    def list_reached(self, gateway):
        """Return the gateways that exchange messages with one."""
        return [
            other
            for other in self.gateways
            if other is not gateway and self.is_linked(gateway, other)
        ]

    def is_linked(self, first, second):
        if {first.number, second.number} & self.dead:
            return False
        return self.groups is None or (
            self.groups[first.number] == self.groups[second.number]
        )

    def update_members(self):
        """Tell each gateway which others are live."""
        for gateway in self.gateways:
            peers = gateway.peers
            reached = self.list_reached(gateway)
            for other in reached:
                known = peers.peers.setdefault(
                    other.peers.key,
                    RatePeer(fleet=self, gateway=gateway, other=other),
                )
                known.last_seen = self.clock.seconds()
            peers.live = frozenset(other.peers.key for other in reached)

    def measure_detection(self):
        """Return the seconds until a silent gateway counts as failed."""
        return (
            MISSED_HEARTBEATS
            * choose_heartbeat_interval(self.size)
            * count_heartbeats_per_round(self.size)
        )

    def partition(self, choose_group):
        """Drop what is sent between groups of gateways from now on."""
        self.cut_at = self.clock.seconds()
        self.groups = [choose_group(each.number) for each in self.gateways]
        self.clock.callLater(self.measure_detection(), self.update_members)

    def join(self):
        """Deliver all messages again."""
        self.groups = None
        self.update_members()

    def kill(self, number):
        """End a gateway without a word."""
        self.dead.add(number)
        self.died_at[number] = self.clock.seconds()
        self.clock.callLater(self.measure_detection(), self.update_members)

    def measure_age(self, number):
        """Return for how long a gateway has been there, in seconds."""
        return self.clock.seconds() - self.started_at.get(number, -math.inf)

    def restart(self, number):
        """Replace a gateway by a new process that knows nothing."""
        self.dead.discard(number)
        self.started_at[number] = self.clock.seconds()
        self.gateways[number] = self.build(
            number,
            incarnation=self.gateways[number].peers.incarnation + 1,
        )
        self.update_members()

    def set_workspaces(self, workspaces, *, spread_seconds=0.0):
        """Set another configuration, which gateways learn in some time."""
        self.workspaces.update({each.name: each for each in workspaces})
        self.table = WorkspaceTable(
            by_digest={}, workspaces=self.workspaces.values()
        )
        for gateway in self.gateways:
            self.clock.callLater(
                self.random.uniform(0.0, spread_seconds),
                setattr,
                gateway.workspaces,
                "table",
                self.table,
            )

    def send(self, sender, peers, fields):
        """Carry one message to its recipients."""
        sender.peers.sequence += 1
        datagram = encode_message(
            FleetMessage(
                sender=sender.peers.key,
                incarnation=sender.peers.incarnation,
                sequence=sender.peers.sequence,
                is_full=False,
                loads=(),
                **fields,
            )
        )
        for peer in peers:
            self.messages += 1
            self.sent_bytes += len(datagram) + HEADER_BYTES
            target = self.gateways[peer.number]
            is_lost = self.random.random() < self.lost_share
            if is_lost or not self.is_linked(sender, target):
                continue
            is_near = sender.peers.region == target.peers.region
            self.clock.callLater(
                LOCAL_DELAY_S if is_near else REGION_DELAY_S,
                self.deliver,
                sender,
                peer.number,
                datagram,
            )

    def deliver(self, sender, number, datagram):
        if number in self.dead:
            return
        self.received[number] = self.received.get(number, 0) + 1
        self.gateways[number].workspace_rates.apply(
            types.SimpleNamespace(identifier=sender.peers.identifier),
            decode_message(datagram),
        )

    def request(self, number, name, *, sends=1, is_forwarded=False):
        """Let a gateway decide on a request; return whether it is admitted.

        Parameters
        ----------
        number : int
        name : str
            Name of the workspace.
        sends : int, optional
            Runs at upstreams.
        is_forwarded : bool, optional
        """
        now = self.clock.seconds()
        retry_after = self.decide(number, name, sends, is_forwarded)
        if retry_after is not None:
            self.refused[name].append((now, retry_after))
            if self.measure_room(name, now) >= 1.0:
                self.wrongly[name] += 1
                self.buckets[name][0] -= 1
            return False
        self.admitted[name] += [now] * sends
        self.measure_room(name, now)
        self.buckets[name][0] -= sends
        return True

    def decide(self, number, name, sends, is_forwarded):
        """Return None for an admitted request, else when to come back."""
        gateway = self.gateways[number]
        relay = types.SimpleNamespace(
            workspace=gateway.workspaces.table.by_name[name],
            is_forwarded=is_forwarded,
            sends=0,
            head=types.SimpleNamespace(
                identifier=f"{name}/{self.clock.seconds()}"
            ),
        )
        try:
            with gateway.workspace_rates.track(relay):
                relay.sends = sends
        except RateLimitError as error:
            return error.retry_after
        return None

    def measure_room(self, name, now):
        """Return the tokens of a bucket that counts all admitted requests."""
        workspace = self.workspaces[name]
        capacity = max(1.0, workspace.burst)
        bucket = self.buckets.setdefault(name, [capacity, now])
        bucket[0] = min(
            capacity, bucket[0] + (now - bucket[1]) * workspace.rate
        )
        bucket[1] = now
        return bucket[0]

    def send_steadily(self, name, *, rate, seconds, choose=None):
        """Send requests at random times from now on.

        Parameters
        ----------
        name : str
        rate : float or callable
            Requests a second, at a time.
        seconds : float
        choose : callable, optional
            Returns the number of the gateway for a time; any by default.
        """
        now = self.clock.seconds()
        measure = rate if callable(rate) else (lambda time: rate)
        end = now + seconds

        def arrive():
            now = self.clock.seconds()
            if now >= end:
                return
            number = (
                self.random.randrange(len(self.gateways))
                if choose is None
                else choose(now)
            )
            if number not in self.dead:
                self.request(number, name)
            plan()

        def plan():
            per_second = max(1e-9, measure(self.clock.seconds()))
            self.clock.callLater(self.random.expovariate(per_second), arrive)

        plan()

    def measure_excess(self, name, *, since=0.0, workspace=None):
        """Return the most requests in a window, less the bound.

        Parameters
        ----------
        name : str
        since : float, optional
            Time at which the first window begins.
        workspace : Workspace, optional
            That sets the bound; the one in force by default.

        Returns
        -------
        float
            Above 0 if the workspace exceeded its rate.
        """
        workspace = workspace or self.workspaces[name]
        times = [each for each in self.admitted[name] if each >= since]
        most = first = 0
        for last, time in enumerate(times):
            while times[first] < time - self.tolerance.window_seconds:
                first += 1
            most = max(most, last + 1 - first)
        return most - self.tolerance.measure_bound(
            rate=workspace.rate, burst=workspace.burst
        )
