"""Which gateways watch the store, and how the others hear of changes."""

from hollyspan_policy.membership import is_small_fleet
from hollyspan_policy.membership import is_store_reader

__all__ = ["StoreReading"]

# Time after the start in which the peers become known.
DISCOVERY_S = 1.0


class StoreReading:
    """Decides whether this gateway watches the store.

    Parameters
    ----------
    gateway : Gateway

    Notes
    -----
    In a large fleet only the readers of each region watch the configuration
    and the list of upstreams. They announce changes to their region at once.
    The others fetch a snapshot from the first peer of any region whose
    message tells a newer revision, see `Refresh`.
    """

    __slots__ = ("gateway", "started_at")

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.started_at = gateway.reactor.seconds()

    def must_watch(self):
        """Return whether this gateway watches the store now."""
        gateway = self.gateway
        elapsed = gateway.reactor.seconds() - self.started_at
        if elapsed < DISCOVERY_S:
            return False
        live = gateway.peers.list_live()
        if is_small_fleet(len(live)):
            return True
        return is_store_reader(
            gateway.peers.identifier,
            runs_batch=gateway.settings.runs_batch,
            others=[
                (peer.identifier, peer.runs_batch)
                for peer in live
                if peer.region == gateway.peers.region
                and peer.reaches_store
                and not peer.is_leaving
            ],
        )

    def announce_news(self):
        """Tell the gateways of the region that entries have changed."""
        peers = self.gateway.peers
        live = peers.list_live()
        if not is_small_fleet(len(live)):
            peers.send_full(
                [peer for peer in live if peer.region == peers.region]
            )
