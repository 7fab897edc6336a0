"""Gateways that may keep the rates of workspaces."""

from hollyspan_policy.workspace_rates import choose_keepers
from hollyspan_policy.workspace_rates import estimate_heard_part

from ..peers.peer import parse_identifier

__all__ = ["RateMembers"]

# Time after which a gateway that is not heard no longer belongs to the fleet.
MEMBER_MEMORY_S = 600.0
# Interval at which the part of the fleet that is heard is computed.
HEARD_INTERVAL_S = 0.1


class RateMembers:
    """View of the fleet, computed anew when its members change.

    Parameters
    ----------
    peers : PeerTable
    """

    __slots__ = (
        "peers",
        "live",
        "candidates",
        "known",
        "keepers",
        "heard_part",
        "heard_at",
    )

    def __init__(self, *, peers):
        self.peers = peers
        self.live = None
        self.candidates = {}
        self.known = 1
        self.keepers = {}
        self.heard_part = 1.0
        self.heard_at = 0.0

    def update(self):
        """Compute the candidates anew if members have come or gone."""
        if self.live is self.peers.live:
            return
        self.live = self.peers.live
        now = self.peers.reactor.seconds()
        self.candidates = {
            peer.identifier: peer.region
            for peer in self.peers.list_live()
            if not peer.is_leaving
        }
        self.candidates[self.peers.identifier] = self.peers.region
        self.known = 1 + sum(
            peer.last_seen is not None
            and now - peer.last_seen < MEMBER_MEMORY_S
            for peer in self.peers.peers.values()
        )
        self.keepers = {}

    def choose_keepers(self, name):
        """Return the identifiers of the keepers of a workspace."""
        self.update()
        keepers = self.keepers.get(name)
        if keepers is None:
            keepers = choose_keepers(name, self.candidates)
            self.keepers[name] = keepers
        return keepers

    def count(self):
        """Return the number of known gateways, this one included."""
        self.update()
        return self.known

    def measure_live_part(self):
        """Return the part of the known gateways that is live and heard."""
        self.update()
        now = self.peers.reactor.seconds()
        if now - self.heard_at >= HEARD_INTERVAL_S:
            self.heard_at = now
            self.heard_part = estimate_heard_part(
                [
                    (peer.last_heartbeat, peer.heartbeat_seconds)
                    for peer in self.peers.list_live()
                    if peer.last_heartbeat is not None
                ],
                now=now,
            )
        others = (len(self.candidates) - 1) * self.heard_part
        return min(1.0, (1 + others) / self.known)

    def find_peer(self, identifier):
        """Return the peer with an identifier, or None."""
        return self.peers.peers.get(parse_identifier(identifier))
