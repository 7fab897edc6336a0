"""Requests that another gateway runs in place of this one."""

import collections
import contextlib

from hollyspan_policy.reach import choose_forwarder
from hollyspan_policy.reach import Forwarder

__all__ = ["Forwarding"]

# Time for which a gateway that did not take a request is passed over.
AVOIDED_S = 1.0


class Forwarding:
    """Chooses the gateways to which requests are forwarded.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    in_flight : collections.Counter
        Requests of this gateway that run at others, by their identifiers.
    avoided_until : dict
        Time until which a gateway is passed over, by its identifier.
    running : int
        Requests of other gateways that run here.
    """

    __slots__ = ("gateway", "in_flight", "avoided_until", "running")

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.in_flight = collections.Counter()
        self.avoided_until = {}
        self.running = 0

    def list_able(self):
        """Return the peers that accept requests of other gateways."""
        now = self.gateway.reactor.seconds()
        return [
            peer
            for peer in self.gateway.peers.peers.values()
            if self.is_able(peer, now=now)
        ]

    def is_able(self, peer, *, now):
        """Return whether a peer accepts requests of other gateways."""
        return (
            peer.is_live(now)
            and peer.runs_online
            and not peer.is_leaving
            and not peer.is_cut_off
            and self.avoided_until.get(peer.identifier, now) <= now
        )

    def is_possible(self):
        """Return whether another gateway can run a request.

        Each attempt that waits asks this again and again: one peer will do.
        """
        now = self.gateway.reactor.seconds()
        return any(
            self.is_able(peer, now=now)
            for peer in self.gateway.peers.peers.values()
        )

    def choose(self, key, *, excluded):
        """Choose the peer that runs a request.

        Parameters
        ----------
        key : str
            Identifier of the request.
        excluded : collection of str
            Identifiers of the peers that have not taken it.

        Returns
        -------
        Peer or None
            None if no peer can run it.
        """
        peers = {
            peer.identifier: peer
            for peer in self.list_able()
            if peer.identifier not in excluded
        }
        chosen = choose_forwarder(
            [
                Forwarder(
                    identifier=peer.identifier,
                    is_near=peer.region == self.gateway.peers.region,
                    in_flight=self.in_flight[peer.identifier],
                    lost_share=peer.lost_share,
                )
                for peer in peers.values()
            ],
            key=key,
        )
        return None if chosen is None else peers[chosen.identifier]

    @contextlib.contextmanager
    def track(self, peer):
        """Count a request as in flight at a peer."""
        self.in_flight[peer.identifier] += 1
        try:
            yield
        finally:
            self.in_flight[peer.identifier] -= 1
            if not self.in_flight[peer.identifier]:
                del self.in_flight[peer.identifier]

    @contextlib.contextmanager
    def track_running(self):
        """Count a request of another gateway as running here."""
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1

    def avoid(self, peer):
        """Pass over a peer that did not take a request."""
        now = self.gateway.reactor.seconds()
        self.avoided_until = {
            identifier: until
            for identifier, until in self.avoided_until.items()
            if until > now
        }
        self.avoided_until[peer.identifier] = now + AVOIDED_S
