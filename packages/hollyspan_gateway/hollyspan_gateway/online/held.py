"""Requests that wait at the gateway for a slot."""

import eliot
from twisted.internet import defer

__all__ = ["HeldRequests"]

# Seconds between two looks for a free slot: the time in which word of a start
# reaches the other gateways.
LOOK_S = 0.02
# Requests that may wait here; further ones queue at the upstreams. Ten
# gateways then hold what a service of 48 slots runs in some eight seconds.
MOST_HELD = 64


class HeldRequests:
    """Keeps requests that would begin late from the upstreams' queues.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    waiting : dict
        Deferred by Relay, in order of arrival.

    Notes
    -----
    One request goes at a time, the one whose time ends first, since the other
    gateways see the same free slot.
    """

    __slots__ = ("gateway", "waiting", "look_call")

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.waiting = {}
        self.look_call = None

    def must_wait(self, relay):
        """Tell whether a request is not to be sent now.

        Parameters
        ----------
        relay : Relay

        Returns
        -------
        bool
        """
        if self.gateway.is_draining:
            return False
        now = self.gateway.reactor.seconds()
        return self.gateway.placement.must_hold(
            relay.service,
            seconds_to_aim=relay.aim_at - now,
            seconds_left=relay.until - now,
        )

    async def wait(self, relay):
        """Wait until a request may be sent.

        Parameters
        ----------
        relay : Relay
        """
        if len(self.waiting) >= MOST_HELD or not self.must_wait(relay):
            return
        started = self.gateway.reactor.seconds()
        eliot.log_message(
            "request:held",
            request=relay.head.identifier,
            service=relay.service,
            held=len(self.waiting),
            service_seconds=round(self.gateway.placement.service_seconds, 3),
            seconds_to_aim=round(relay.aim_at - started, 3),
            seconds_left=round(relay.until - started, 3),
        )
        self.waiting[relay] = defer.Deferred()
        self.look_later()
        try:
            await self.waiting[relay]
        finally:
            # Also when the client has gone or its time is over.
            self.waiting.pop(relay, None)
            seconds = self.gateway.reactor.seconds() - started
            self.gateway.metrics.record("held", seconds)

    def look_later(self):
        if self.look_call is None and self.waiting:
            self.look_call = self.gateway.reactor.callLater(LOOK_S, self.look)

    def look(self):
        """Let the next request go if it may."""
        self.look_call = None
        if self.waiting:
            relay = min(self.waiting, key=lambda relay: relay.until)
            if not self.must_wait(relay):
                self.waiting.pop(relay).callback(None)
        self.look_later()
