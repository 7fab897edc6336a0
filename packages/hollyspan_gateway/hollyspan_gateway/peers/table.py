"""The other gateways and their messages."""

import eliot
from twisted.internet import protocol
from twisted.internet import task

from hollyspan_core.errors import PeerMessageError
from hollyspan_policy.hashing import hash_parts

from .codec import decode_message
from .codec import encode_message
from .message import FleetMessage
from .message import UpstreamLoad
from .peer import build_identifier
from .peer import Peer

__all__ = ["PeerTable"]

# Seconds between two full messages, and of silence after which a gateway
# counts as lost: three missed messages and the longest way between regions.
BEAT_S = 0.3
LOST_S = 1.0
# Seconds that a change of load may wait for others to go with it; far below
# the time in which an online request's first event is due.
COALESCE_S = 0.008
# Silent gateways get one full message in this many.
SILENT_BEATS = 3


class PeerTable(protocol.DatagramProtocol):
    """Sends this gateway's load and keeps what others send.

    Parameters
    ----------
    reactor : twisted reactor
    name : str
    incarnation : int
    describe : callable
        Returns a dict with the state for a full message.
    list_loads : callable
        Returns the upstreams with requests in flight.
    on_message : callable
        Called with a Peer and its FleetMessage.
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
        incarnation,
        describe,
        list_loads,
        on_message,
        on_membership,
    ):
        self.reactor = reactor
        self.key = hash_parts(name)
        self.identifier = build_identifier(self.key)
        self.incarnation = incarnation
        self.describe = describe
        self.list_loads = list_loads
        self.on_message = on_message
        self.on_membership = on_membership
        self.peers = {}
        self.sequence = 0
        self.changed = {}
        self.flush_call = None
        self.beats = 0
        self.live = frozenset()
        self.loop = task.LoopingCall(self.beat)

    def startProtocol(self):
        self.loop.clock = self.reactor
        self.loop.start(BEAT_S)

    def stopProtocol(self):
        if self.loop.running:
            self.loop.stop()

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
        return [
            peer
            for peer in self.peers.values()
            if peer.heard is not None and now - peer.heard < LOST_S
        ]

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

    def note_load(self, upstream):
        """Tell the others of a change of load soon."""
        self.changed[upstream.entry.name] = upstream
        if self.flush_call is None:
            self.flush_call = self.reactor.callLater(COALESCE_S, self.flush)

    def flush(self):
        """Send the changed loads."""
        self.flush_call = None
        changed, self.changed = self.changed, {}
        loads = [
            build_load(upstream, with_news=True)
            for upstream in changed.values()
        ]
        message = self.build_message(loads=loads, is_full=False)
        self.send(self.list_live(), message)

    def beat(self):
        """Send a full message to all, and notice who is lost."""
        self.beats += 1
        peers = self.list_live()
        if self.beats % SILENT_BEATS == 0:
            peers = list(self.peers.values())
        self.send_full(peers)
        self.notice_members()

    def send_full(self, peers, *, wants_reply=False):
        """Send the whole state."""
        loads = [build_load(upstream) for upstream in self.list_loads()]
        message = self.build_message(
            loads=loads,
            is_full=True,
            wants_reply=wants_reply,
            heard=[peer.key for peer in self.list_live() if peer.runs_batch],
            **self.describe(),
        )
        self.send(peers, message)

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
        if not peer.take(message, now=self.reactor.seconds()):
            return
        if message.wants_reply:
            self.send_full([peer])
        self.on_message(peer, message)
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


def build_load(upstream, *, with_news=False):
    """Return the load of an upstream, with what peers have not been told."""
    load = UpstreamLoad(
        upstream=hash_parts(upstream.entry.name),
        online=upstream.online,
        batch=upstream.batch,
    )
    if with_news:
        load.reported, upstream.news = upstream.news, None
        load.is_unreachable = upstream.is_unreachable_news
        upstream.is_unreachable_news = False
    return load
