"""The other gateways and their messages."""

import eliot
from twisted.internet import protocol

from hollyspan_core.errors import PeerMessageError
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.membership import choose_heartbeat_interval
from hollyspan_policy.membership import choose_heartbeat_recipients
from hollyspan_policy.membership import count_heartbeats_per_round
from hollyspan_policy.membership import is_small_fleet

from .codec import decode_message
from .codec import encode_message
from .loadnews import build_load
from .message import FleetMessage
from .peer import build_identifier
from .peer import parse_identifier
from .peer import Peer

__all__ = ["PeerTable"]

# Silent gateways get one full message in this many.
SILENT_BEATS = 3
# Loads of the own region in one message, so that it fits into a datagram of
# the usual size; with more upstreams each message has the next ones.
MOST_TOTALS = 48


class PeerTable(protocol.DatagramProtocol):
    """Sends this gateway's load and keeps what others send.

    Parameters
    ----------
    reactor : twisted reactor
    name : str
    region : str
        Where this gateway is.
    incarnation : int
    runs_batch : bool
        Whether this gateway runs items.
    describe : callable
        Returns a dict with the state for a full message.
    list_loads : callable
        Returns the upstreams with requests in flight.
    list_totals : callable
        Returns an UpstreamTotal for each upstream of the own region.
    on_message : callable
        Called with a Peer, its FleetMessage and what that has changed.
    on_membership : callable
        Called without arguments when a gateway appears, is lost or leaves.

    Attributes
    ----------
    identifier : str
        How peers name this gateway.
    peers : dict
        Peer by hash of its name.
    """

    noisy = False

    def __init__(
        self,
        *,
        reactor,
        name,
        region,
        incarnation,
        runs_batch,
        describe,
        list_loads,
        list_totals,
        on_message,
        on_membership,
    ):
        self.reactor = reactor
        self.key = hash_parts(name)
        self.identifier = build_identifier(self.key)
        self.region = hash_parts(region)
        self.incarnation = incarnation
        self.runs_batch = runs_batch
        self.describe = describe
        self.list_loads = list_loads
        self.list_totals = list_totals
        self.on_message = on_message
        self.on_membership = on_membership
        self.peers = {}
        self.sequence = 0
        self.beats = 0
        # Heartbeats in which each gateway is told once.
        self.heartbeats_per_round = 1
        self.live = frozenset()
        self.beat_call = None

    def startProtocol(self):
        self.keep_beating()

    def stopProtocol(self):
        if self.beat_call is not None:
            self.beat_call.cancel()
            self.beat_call = None

    def keep_beating(self):
        """Send a full message now and again and again."""
        self.beat_call = self.reactor.callLater(
            self.find_beat_seconds(), self.keep_beating
        )
        self.beat()

    def find_beat_seconds(self):
        """Return the time between two full messages."""
        return choose_heartbeat_interval(len(self.list_live()))

    def add(self, name, address):
        """Add a gateway that the store lists."""
        key = hash_parts(name)
        known = self.peers.get(key)
        if key == self.key:
            return
        if known is not None:
            known.address = address
            return
        self.peers[key] = Peer(key=key, address=address)
        self.send_full([self.peers[key]], wants_reply=True)

    def list_live(self):
        """Return the gateways that are heard."""
        now = self.reactor.seconds()
        return [peer for peer in self.peers.values() if peer.is_live(now)]

    def list_workers(self):
        """Return the gateways that run items and live.

        Notes
        -----
        One that is not heard here lives as long as another gateway hears
        it [1]_: two workers that are cut off from each other do not take
        each other's items over.

        References
        ----------
        .. [1] A. Das, I. Gupta, A. Motivala, "SWIM: scalable weakly-consistent
           infection-style process group membership protocol", DSN 2002.
        """
        live = self.list_live()
        heard = {peer.key for peer in live}.union(
            *(peer.heard_workers for peer in live)
        )
        return [
            peer
            for peer in self.peers.values()
            if peer.runs_batch and peer.key in heard
        ]

    def tells_all(self):
        """Tell whether each change of load goes to all gateways at once."""
        return is_small_fleet(len(self.live))

    def find_region(self, identifier):
        """Return the hash of the region of a gateway, 0 if it is unknown."""
        if identifier == self.identifier:
            return self.region
        peer = self.peers.get(parse_identifier(identifier))
        return 0 if peer is None else peer.region

    def beat(self):
        """Send full messages to those whose turn it is, and notice losses."""
        self.beats += 1
        peers = self.list_live()
        heartbeats_per_round = count_heartbeats_per_round(len(peers))
        if (
            self.beats % (SILENT_BEATS * heartbeats_per_round)
            < heartbeats_per_round
        ):
            peers = list(self.peers.values())
        if heartbeats_per_round == self.heartbeats_per_round:
            peers = choose_heartbeat_recipients(
                peers,
                key=self.key,
                heartbeat_number=self.beats,
                heartbeats_per_round=heartbeats_per_round,
                runs_batch=self.runs_batch,
            )
        # Else all have to know how seldom they will hear from now on.
        self.heartbeats_per_round = heartbeats_per_round
        self.send_full(peers)
        self.notice_members()

    def send_full(self, peers, *, wants_reply=False):
        """Send the whole state."""
        beat_seconds = self.find_beat_seconds()
        state = {
            "loads": [build_load(upstream) for upstream in self.list_loads()],
            "is_full": True,
            "wants_reply": wants_reply,
            "heard": self.list_heard_workers(),
            "region": self.region,
            **self.describe(),
        }
        groups = {}
        for peer in peers:
            is_often = self.runs_batch and peer.runs_batch
            heartbeats_per_round = 1 if is_often else self.heartbeats_per_round
            with_totals = (
                self.heartbeats_per_round > 1 and peer.region != self.region
            )
            groups.setdefault((heartbeats_per_round, with_totals), []).append(
                peer
            )
        for (heartbeats_per_round, with_totals), group in groups.items():
            message = self.build_message(
                beat_seconds=beat_seconds * heartbeats_per_round,
                totals=self.choose_totals() if with_totals else (),
                **state,
            )
            self.send(group, message)

    def choose_totals(self):
        """Return the loads that one message to another region carries."""
        totals = self.list_totals()
        first = self.beats * MOST_TOTALS % max(1, len(totals))
        return (totals[first:] + totals[:first])[:MOST_TOTALS]

    def list_heard_workers(self):
        """Return the keys of the gateways that run items and are heard.

        Notes
        -----
        Workers of a large fleet are heard by the others too seldom for these
        to tell who has just been lost.
        """
        if self.heartbeats_per_round > 1 and not self.runs_batch:
            return []
        return [peer.key for peer in self.list_live() if peer.runs_batch]

    def build_message(self, **state):
        self.sequence += 1
        return FleetMessage(
            sender=self.key,
            incarnation=self.incarnation,
            sequence=self.sequence,
            **state,
        )

    def send(self, peers, message):
        if self.transport is None:
            return
        datagram = encode_message(message)
        for peer in peers:
            try:
                self.transport.write(datagram, peer.address)
            except OSError as fault:
                eliot.log_message(
                    "peer:send_failed", peer=peer.identifier, reason=str(fault)
                )

    def datagramReceived(self, datagram, address):
        try:
            message = decode_message(datagram)
        except PeerMessageError as fault:
            eliot.log_message("peer:malformed", reason=fault.message)
            return
        peer = self.peers.get(message.sender)
        if peer is None:
            # Its registration is not known here yet; the address answers.
            peer = Peer(key=message.sender, address=address)
            self.peers[message.sender] = peer
        peer.address = address
        now = self.reactor.seconds()
        was_live = peer.is_live(now)
        change = peer.take(message, now=now)
        if change is None:
            return
        if message.wants_reply:
            self.send_full([peer])
        self.on_message(peer, message, change)
        if change.is_member_news or not was_live:
            self.notice_members()

    def notice_members(self):
        """Report a change of the gateways that are heard."""
        live = frozenset(
            (peer.key, peer.runs_batch, peer.is_leaving, peer.reaches_store)
            for peer in {*self.list_live(), *self.list_workers()}
        )
        if live == self.live:
            return
        eliot.log_message(
            "peers:changed",
            live=len(live),
            was=len(self.live),
            known=len(self.peers),
        )
        self.live = live
        self.on_membership()
