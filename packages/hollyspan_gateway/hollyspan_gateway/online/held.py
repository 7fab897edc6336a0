"""Requests that are held at the gateway until a slot is free."""

import eliot
from twisted.internet import defer

__all__ = ["HeldRequests"]

# Interval between checks for a free slot: the time in which the message about
# a started request reaches the other gateways.
HOLD_CHECK_INTERVAL_S = 0.02
# Limit on held requests; further ones queue at the upstreams. Ten gateways
# then hold as many requests as a service of 48 slots runs in about eight
# seconds.
MAX_HELD_REQUESTS = 64


class HeldRequests:
    """Holds requests that would start late in an upstream's queue.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    waiting : dict
        Deferred by Relay, in order of arrival.

    Notes
    -----
    One request is released at a time, the one with the earliest deadline,
    since the other gateways see the same free slot.
    """

    __slots__ = ("gateway", "waiting", "check_call")

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.waiting = {}
        self.check_call = None

    def must_hold(self, relay, *, ahead=0):
        """Return whether a request has to be held now.

        Parameters
        ----------
        relay : Relay
        ahead : int, optional
            Number of requests that are held already.

        Returns
        -------
        bool
        """
        if self.gateway.is_draining or relay.must_hop():
            return False
        now = self.gateway.reactor.seconds()
        return self.gateway.placement.must_hold(
            relay.service,
            seconds_to_target=relay.target_at - now,
            seconds_left=relay.deadline - now,
            ahead=ahead,
            can_forward=relay.may_hop(),
        )

    async def wait(self, relay):
        """Hold a request until it may be sent.

        Parameters
        ----------
        relay : Relay
        """
        ahead = len(self.waiting)
        if ahead >= MAX_HELD_REQUESTS or not self.must_hold(
            relay, ahead=ahead
        ):
            return
        started = self.gateway.reactor.seconds()
        eliot.log_message(
            "request:held",
            request=relay.head.identifier,
            service=relay.service,
            held=len(self.waiting),
            service_seconds=round(self.gateway.placement.service_seconds, 3),
            seconds_to_aim=round(relay.target_at - started, 3),
            seconds_left=round(relay.deadline - started, 3),
        )
        self.waiting[relay] = defer.Deferred()
        self.schedule_check()
        try:
            await self.waiting[relay]
        finally:
            # Also when the client disconnected or the deadline passed.
            self.waiting.pop(relay, None)
            seconds = self.gateway.reactor.seconds() - started
            self.gateway.metrics.record("held", seconds)

    def release_blocked(self, keys):
        """Release the requests that a block refuses.

        Parameters
        ----------
        keys : frozenset of int
        """
        for relay in list(self.waiting):
            if keys.issubset(relay.head.keys):
                self.waiting.pop(relay).callback(None)

    def schedule_check(self):
        if self.check_call is None and self.waiting:
            self.check_call = self.gateway.reactor.callLater(
                HOLD_CHECK_INTERVAL_S, self.release_next
            )

    def release_next(self):
        """Release the request with the earliest deadline if it may be sent."""
        self.check_call = None
        if self.waiting:
            relay = min(self.waiting, key=lambda relay: relay.deadline)
            if not self.must_hold(relay):
                self.waiting.pop(relay).callback(None)
        self.schedule_check()
