"""Catch-up with newer revisions of mirrored entries at peers."""

import eliot
from twisted.internet import defer

from .clock import wait
from .peers import fetch_snapshot

__all__ = ["Refresh"]

# Time that the gateway's own watch has to deliver a revision that a peer
# already has.
WATCH_GRACE_S = 0.3
# Limits the rate of reads: a gateway that cannot reach the store receives
# newer revisions with each message.
MIN_REFRESH_INTERVAL_S = 0.8


class Refresh:
    """Compares revisions with peers and reads newer entries.

    Parameters
    ----------
    gateway : Gateway
    """

    __slots__ = ("gateway", "last_started")

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.last_started = 0.0

    def compare_revisions(self, peer, message):
        """Start to catch up if a peer has a newer revision.

        Parameters
        ----------
        peer : Peer
        message : FleetMessage
            A full message.
        """
        gateway = self.gateway
        if (
            gateway.reactor.seconds() - self.last_started
            < MIN_REFRESH_INTERVAL_S
        ):
            return
        if message.configuration > gateway.configuration_revision:
            self.start_catch_up("configuration", peer, message.configuration)
        if message.upstreams > gateway.upstreams_mirror.revision:
            self.start_catch_up("upstreams", peer, message.upstreams)

    def start_catch_up(self, name, peer, revision):
        self.last_started = self.gateway.reactor.seconds()
        work = defer.ensureDeferred(self.catch_up(name, peer, revision))
        work.addErrback(eliot.write_failure)

    async def catch_up(self, name, peer, revision):
        """Read the entries again unless the watch delivers them first."""
        gateway = self.gateway
        mirror = gateway.mirrors[name]
        if mirror.is_connected:
            await wait(gateway.reactor, WATCH_GRACE_S)
        if mirror.revision >= revision:
            return
        eliot.log_message(
            f"{name}:behind",
            revision=mirror.revision,
            peer=peer.identifier,
            newer=revision,
            is_connected=mirror.is_connected,
        )
        if mirror.is_connected:
            mirror.refresh()
            return
        page = await fetch_snapshot(
            gateway.pool, peer, port=gateway.settings.snapshot_port, name=name
        )
        if page is not None:
            mirror.apply_snapshot(page)
