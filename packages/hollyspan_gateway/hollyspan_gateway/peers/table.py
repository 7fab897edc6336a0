"""Table of the other gateways and exchange of messages with them."""

import eliot
from twisted.internet import protocol

from hollyspan_core.errors import PeerMessageError
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.membership import choose_heartbeat_interval
from hollyspan_policy.membership import choose_heartbeat_recipients
from hollyspan_policy.membership import count_heartbeats_per_round
from hollyspan_policy.membership import is_small_fleet

from ..intake import DatagramIntake
from ..intake import MALFORMED_DATAGRAM_WORK
from ..intake import MAX_UNREGISTERED_PEERS
from .codec import decode_message
from .codec import encode_message
from .load_broadcast import build_load
from .message import FleetMessage
from .peer import build_identifier
from .peer import parse_identifier
from .peer import Peer

__all__ = ["PeerTable"]

# Gateways that are not live are included in one round of heartbeats out of
# this many.
SILENT_PEER_ROUNDS = 3
# Keeps a message within a datagram of the usual size; with more upstreams the
# messages carry them in turn.
MAX_TOTALS_PER_MESSAGE = 48
# Delays in a large fleet, so that the messages of many gateways that start
# together are answered by one message and lead to one check. The first leaves
# a restarted gateway informed within 0.3 s; the second is a small part of the
# time after which a silent gateway counts as failed.
REPLY_DELAY_S = 0.05
CHECK_DELAY_S = 0.1


class PeerTable(protocol.DatagramProtocol):
    """Sends this gateway's load and state and keeps those of its peers.

    Parameters
    ----------
    reactor : twisted reactor
    name : str
        Name of this gateway.
    region : str
        Region of this gateway.
    incarnation : int
        Start time, microseconds since the epoch.
    runs_batch : bool
        Whether this gateway runs items.
    describe : callable
        Returns the state for a full message, a dict of parameters of
        FleetMessage.
    list_loads : callable
        Returns the upstreams with requests in flight.
    list_totals : callable
        Returns an UpstreamTotal for each upstream of the same region.
    on_notices : callable
        Called with a Peer and its FleetMessage, also when a newer message has
        arrived before: notices count in any order.
    on_message : callable
        Called with a Peer, its FleetMessage and the PeerChange.
    on_membership : callable
        Called without arguments when a gateway appears, fails or leaves.

    Attributes
    ----------
    identifier : str
        Identifier of this gateway, the same at its peers.
    peers : dict
        Peer by hash of its name.
    unregistered : dict
        Those of which the store has not told, oldest first.
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
        on_notices,
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
        self.on_notices = on_notices
        self.on_message = on_message
        self.on_membership = on_membership
        self.peers = {}
        self.unregistered = {}
        self.intake = DatagramIntake(reactor=reactor)
        self.sequence = 0
        self.heartbeat_count = 0
        # Heartbeats in a round; each live peer receives at least one of them.
        self.heartbeats_per_round = 1
        self.live = frozenset()
        self.heartbeat_call = None
        # Peers that wait for a reply, by their keys.
        self.unanswered = {}
        self.reply_call = None
        self.check_call = None

    def startProtocol(self):
        self.run_heartbeats()

    def stopProtocol(self):
        for call in (self.heartbeat_call, self.reply_call, self.check_call):
            if call is not None:
                call.cancel()
        self.heartbeat_call = self.reply_call = self.check_call = None

    def run_heartbeats(self):
        """Send a heartbeat now and one after each heartbeat interval."""
        self.heartbeat_call = self.reactor.callLater(
            self.get_heartbeat_interval(), self.run_heartbeats
        )
        self.send_heartbeat()

    def get_heartbeat_interval(self):
        """Return the seconds between two heartbeats."""
        return choose_heartbeat_interval(len(self.list_live()))

    def add(self, members):
        """Add gateways registered in the store and greet those not known.

        Parameters
        ----------
        members : dict
            Address, (str, int), by name.
        """
        added = []
        for name, address in members.items():
            key = hash_parts(name)
            if key == self.key:
                continue
            self.unregistered.pop(key, None)
            if key in self.peers:
                self.peers[key].address = address
                continue
            self.peers[key] = Peer(key=key, address=address)
            added.append(self.peers[key])
        # One message for all, since encoding takes longer than sending.
        self.send_full(added, wants_reply=True)

    def is_known(self, name):
        """Return whether a gateway of this name has registered here."""
        return hash_parts(name) in self.peers

    def list_live(self):
        """Return the peers whose last message is recent enough."""
        now = self.reactor.seconds()
        return [peer for peer in self.peers.values() if peer.is_live(now)]

    def list_workers(self):
        """Return the peers that run items and are live here or at a live peer.

        Notes
        -----
        A peer that is silent here counts as live as long as it is live at
        another gateway [1]_, so that two workers partitioned from each other
        do not take over each other's items.

        References
        ----------
        .. [1] A. Das, I. Gupta, A. Motivala, "SWIM: scalable weakly-consistent
           infection-style process group membership protocol", DSN 2002.
        """
        now = self.reactor.seconds()
        workers = [peer for peer in self.peers.values() if peer.runs_batch]
        if all(peer.is_live(now) for peer in workers):
            # What the others name is not needed.
            return workers
        named = set().union(*(peer.live_workers for peer in self.list_live()))
        return [
            peer for peer in workers if peer.is_live(now) or peer.key in named
        ]

    def broadcasts_load(self):
        """Return whether each change of load is sent to all gateways."""
        return is_small_fleet(len(self.live))

    def find_region(self, identifier):
        """Return the hash of a gateway's region, 0 if it is unknown."""
        if identifier == self.identifier:
            return self.region
        peer = self.peers.get(parse_identifier(identifier))
        return 0 if peer is None else peer.region

    def send_heartbeat(self):
        """Send full messages to the next recipients, then detect failures."""
        self.heartbeat_count += 1
        peers = self.list_live()
        heartbeats_per_round = count_heartbeats_per_round(len(peers))
        if (
            self.heartbeat_count % (SILENT_PEER_ROUNDS * heartbeats_per_round)
            < heartbeats_per_round
        ):
            peers = list(self.peers.values())
        if heartbeats_per_round == self.heartbeats_per_round:
            peers = choose_heartbeat_recipients(
                peers,
                key=self.key,
                heartbeat_number=self.heartbeat_count,
                heartbeats_per_round=heartbeats_per_round,
                runs_batch=self.runs_batch,
            )
        # Otherwise the message goes to all peers, since it announces the new
        # heartbeat interval.
        self.heartbeats_per_round = heartbeats_per_round
        self.send_full(peers)
        self.check_membership()

    def send_full(self, peers, *, wants_reply=False):
        """Send the load and state of this gateway."""
        heartbeat_seconds = self.get_heartbeat_interval()
        state = {
            "loads": [
                build_load(upstream, now=self.reactor.seconds())
                for upstream in self.list_loads()
            ],
            "is_full": True,
            "wants_reply": wants_reply,
            "live_workers": self.list_live_worker_keys(),
            "region": self.region,
            **self.describe(),
        }
        groups = {}
        for peer in peers:
            is_between_workers = self.runs_batch and peer.runs_batch
            heartbeats_per_round = (
                1 if is_between_workers else self.heartbeats_per_round
            )
            with_totals = (
                self.heartbeats_per_round > 1 and peer.region != self.region
            )
            groups.setdefault((heartbeats_per_round, with_totals), []).append(
                peer
            )
        for (heartbeats_per_round, with_totals), group in groups.items():
            message = self.build_message(
                heartbeat_seconds=heartbeat_seconds * heartbeats_per_round,
                totals=self.choose_totals() if with_totals else (),
                **state,
            )
            self.send(group, message)

    def choose_totals(self):
        """Return the totals for the next message to other regions."""
        totals = self.list_totals()
        first = (
            self.heartbeat_count * MAX_TOTALS_PER_MESSAGE % max(1, len(totals))
        )
        return (totals[first:] + totals[:first])[:MAX_TOTALS_PER_MESSAGE]

    def list_live_worker_keys(self):
        """Return the keys of the live gateways that run items.

        Notes
        -----
        In a large fleet workers send heartbeats to the other gateways too
        seldom for these to detect a failed worker in time, so these report
        none.
        """
        if self.heartbeats_per_round > 1 and not self.runs_batch:
            return []
        return [peer.key for peer in self.list_live() if peer.runs_batch]

    def send_change(self, peers, *, loads=(), **fields):
        """Send what has changed, without the rest of the state."""
        self.send(
            peers, self.build_message(loads=loads, is_full=False, **fields)
        )

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
            except OSError as error:
                eliot.log_message(
                    "peer:send_failed", peer=peer.identifier, reason=str(error)
                )

    def datagramReceived(self, datagram, address):
        host = address[0]
        if not self.intake.may_read(host):
            return
        try:
            message = decode_message(datagram)
        except PeerMessageError as error:
            self.intake.charge(host, MALFORMED_DATAGRAM_WORK)
            self.intake.refuse(host, error.message, message="peer:malformed")
            return
        self.intake.charge(host, 1 + len(message.loads))
        if message.sender == self.key:
            self.intake.refuse(host, "it names this gateway as its sender")
            return
        peer = self.peers.get(message.sender)
        if peer is None:
            if not self.has_place():
                self.intake.refuse(host, "too many unregistered senders")
                return
            # The sender's registration has not been read yet; replies go to
            # the datagram's source address.
            peer = Peer(key=message.sender, address=address)
            self.peers[message.sender] = peer
            self.unregistered[message.sender] = peer
        peer.address = address
        now = self.reactor.seconds()
        was_live = peer.is_live(now)
        change = peer.apply(message, now=now)
        self.on_notices(peer, message)
        if change is None:
            return
        if message.wants_reply:
            self.queue_reply(peer)
        self.on_message(peer, message, change)
        if change.is_membership_change or not was_live:
            self.schedule_membership_check()

    def has_place(self):
        """Return whether one more unregistered sender can be remembered.

        One that has fallen silent is forgotten for it.
        """
        if len(self.unregistered) < MAX_UNREGISTERED_PEERS:
            return True
        now = self.reactor.seconds()
        for key, peer in self.unregistered.items():
            if not peer.is_live(now):
                del self.unregistered[key], self.peers[key]
                return True
        return False

    def queue_reply(self, peer):
        """Reply to a peer that has started, in a large fleet to many at once.

        Notes
        -----
        Load pattern: a fleet that starts, or a zone that restarts, greets
        every gateway within a fraction of a second.
        """
        if is_small_fleet(len(self.peers)):
            self.send_full([peer])
            return
        self.unanswered[peer.key] = peer
        if self.reply_call is None:
            self.reply_call = self.reactor.callLater(
                REPLY_DELAY_S, self.send_replies
            )

    def send_replies(self):
        self.reply_call = None
        unanswered, self.unanswered = self.unanswered, {}
        self.send_full(list(unanswered.values()))

    def schedule_membership_check(self):
        """Check the membership now, in a large fleet after a short delay."""
        if is_small_fleet(len(self.peers)):
            self.check_membership()
        elif self.check_call is None:
            self.check_call = self.reactor.callLater(
                CHECK_DELAY_S, self.run_scheduled_check
            )

    def run_scheduled_check(self):
        self.check_call = None
        self.check_membership()

    def check_membership(self):
        """Report a change of the live gateways or of their roles."""
        live = frozenset(
            (
                peer.key,
                peer.runs_batch,
                peer.is_leaving,
                peer.reaches_store,
                peer.is_cut_off,
            )
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
