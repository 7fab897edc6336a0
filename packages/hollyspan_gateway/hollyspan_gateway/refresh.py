"""Reading of what a peer knows in a newer revision."""

import eliot
from twisted.internet import defer

from .clock import wait
from .peers import fetch_copy

__all__ = ["Refresh"]

# A peer that knows a newer revision is given this time, seconds, for the own
# watch to bring it too.
REFRESH_S = 0.3
# Least time between two such reads, seconds: a gateway that the store turns
# away hears of newer revisions with each message.
REFRESH_PAUSE_S = 0.8


class Refresh:
    """Compares revisions with peers and catches up.

    Parameters
    ----------
    gateway : Gateway
    """

    __slots__ = ("gateway", "last")

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.last = 0.0

    def compare(self, peer, message):
        """Notice that a peer knows something newer.

        Parameters
        ----------
        peer : Peer
        message : FleetMessage
            A full one.
        """
        gateway = self.gateway
        if gateway.reactor.seconds() - self.last < REFRESH_PAUSE_S:
            return
        if message.configuration > gateway.configuration_revision:
            self.begin("configuration", peer, message.configuration)
        if message.upstreams > gateway.upstreams_mirror.revision:
            self.begin("upstreams", peer, message.upstreams)

    def begin(self, name, peer, revision):
        self.last = self.gateway.reactor.seconds()
        work = defer.ensureDeferred(self.catch_up(name, peer, revision))
        work.addErrback(eliot.write_failure)

    async def catch_up(self, name, peer, revision):
        """Read entries anew unless the own watch brings them meanwhile."""
        gateway = self.gateway
        mirror = gateway.mirrors[name]
        if mirror.is_connected:
            await wait(gateway.reactor, REFRESH_S)
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
        page = await fetch_copy(
            gateway.pool, peer, port=gateway.settings.copies_port, name=name
        )
        if page is not None:
            mirror.take_over(page)
