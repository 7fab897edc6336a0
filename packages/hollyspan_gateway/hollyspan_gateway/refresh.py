"""Catch-up with newer revisions of mirrored entries at peers."""

import random

import eliot
from twisted.internet import defer

from .clock import wait
from .peers import fetch_snapshot

__all__ = ["Refresh"]

# Time that the gateway's own watch has to deliver a revision that a peer
# already has.
WATCH_GRACE_S = 0.3
# The same for jobs, whose changes may follow each other closely: above the
# longest delay between two watches.
JOBS_WATCH_GRACE_S = 1.0
# Longest grace, as a multiple of the above.
MAX_GRACE = 1.3
# Limits the rate of reads: a gateway that cannot reach the store receives
# newer revisions with each message.
MIN_REFRESH_INTERVAL_S = 0.8


class Refresh:
    """Compares revisions with peers and reads newer entries.

    Parameters
    ----------
    gateway : Gateway
    """

    __slots__ = ("gateway", "last_started", "newer", "call")

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.last_started = -MIN_REFRESH_INTERVAL_S
        # Peer and revision by name of the mirror, of those to catch up with.
        self.newer = {}
        self.call = None

    def compare_revisions(self, peer, message):
        """Start to catch up if a peer has a newer revision.

        Parameters
        ----------
        peer : Peer
        message : FleetMessage
            A revision that it does not tell is 0.
        """
        gateway = self.gateway
        if message.configuration > gateway.configuration_revision:
            self.newer["configuration"] = peer, message.configuration
        if message.upstreams > gateway.upstreams_mirror.revision:
            self.newer["upstreams"] = peer, message.upstreams
        if (
            message.jobs
            and gateway.worker is not None
            and message.jobs > gateway.worker.catalogue.mirror.revision
        ):
            self.newer["jobs"] = peer, message.jobs
        if self.newer and self.call is None:
            now = gateway.reactor.seconds()
            delay = self.last_started + MIN_REFRESH_INTERVAL_S - now
            if delay <= 0:
                self.start_catch_up()
            else:
                self.call = gateway.reactor.callLater(
                    delay, self.start_catch_up
                )

    def start_catch_up(self):
        self.call = None
        self.last_started = self.gateway.reactor.seconds()
        newer, self.newer = self.newer, {}
        for name, (peer, revision) in newer.items():
            work = defer.ensureDeferred(self.catch_up(name, peer, revision))
            work.addErrback(eliot.write_failure)

    async def catch_up(self, name, peer, revision):
        """Watch or read again unless the watch delivers the changes first."""
        gateway = self.gateway
        grace = WATCH_GRACE_S
        if name == "jobs":
            mirror, grace = gateway.worker.catalogue.mirror, JOBS_WATCH_GRACE_S
        else:
            mirror = gateway.mirrors[name]
        is_watching = mirror.is_connected and mirror.must_watch()
        if is_watching:
            # Not all at one moment, if the watches of all have been silent.
            await wait(gateway.reactor, grace * random.uniform(1.0, MAX_GRACE))
        if mirror.revision >= revision:
            return
        eliot.log_message(
            f"{name}:behind",
            revision=mirror.revision,
            peer=peer.identifier,
            newer=revision,
            is_watching=is_watching,
        )
        if is_watching:
            gateway.proof_of_life.reopen(mirror)
            return
        if name == "jobs":
            # Its mirror reads them itself as soon as the store can be reached.
            return
        asked_at = mirror.clock()
        snapshot = await fetch_snapshot(
            gateway.pool, peer, port=gateway.settings.snapshot_port, name=name
        )
        if snapshot is not None:
            page, connected_seconds = snapshot
            mirror.apply_snapshot(
                page, connected_seconds=connected_seconds, asked_at=asked_at
            )
