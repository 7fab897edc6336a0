"""Requests that are held at the gateway until a slot is free."""

import eliot
from twisted.internet import defer

from .sharing import build_refusal
from .sharing import find_hold_limit
from .sharing import measure_queueing_time
from .sharing import rank_relay

__all__ = ["HeldRequests"]

# Interval between checks for a free slot: the time in which the message about
# a started request reaches the other gateways.
HOLD_CHECK_INTERVAL_S = 0.02
# Limit on held requests; further ones queue at the upstreams. Ten gateways
# then hold as many requests as a service of 48 slots runs in about eight
# seconds.
MAX_HELD_REQUESTS = 64
# Requests released at a check where there are workspaces: those that a
# gateway may hold then wait for two checks at most.
MAX_RELEASES_PER_CHECK = 32


class HeldRequests:
    """Holds requests that would start late in an upstream's queue.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    waiting : dict
        Deferred by Relay, in order of arrival.
    limits : dict
        Time at which a request is refused, by Relay.

    Notes
    -----
    One request is released at a time, the one with the earliest deadline,
    since the other gateways see the same free slot. Where there are
    workspaces, the order is that of `rank_relay`, and requests are released
    until no slot is left: load pattern: waves in which slots become free
    faster than one request in each interval can use them. A request that
    would then be late is refused while it can still be served in time when
    it comes again.
    """

    __slots__ = ("gateway", "waiting", "limits", "check_call")

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.waiting = {}
        self.limits = {}
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
            seconds_to_target=measure_queueing_time(relay),
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
        limit = find_hold_limit(relay)
        if limit is not None:
            self.limits[relay] = limit
        self.schedule_check()
        try:
            await self.waiting[relay]
        finally:
            # Also when the client disconnected or the deadline passed.
            self.waiting.pop(relay, None)
            self.limits.pop(relay, None)
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
        """Release the requests that may be sent, refuse those held too long.

        Without workspaces, the one with the earliest deadline is released.
        """
        self.check_call = None
        if self.gateway.workspaces.table is not None:
            self.release_in_order()
            self.refuse_overdue()
        elif self.waiting:
            relay = min(self.waiting, key=lambda relay: relay.deadline)
            if not self.must_hold(relay):
                self.waiting.pop(relay).callback(None)
        self.schedule_check()

    def release_in_order(self):
        """Release requests in their order while they may be sent."""
        for _ in range(MAX_RELEASES_PER_CHECK):
            relay = min(self.waiting, key=rank_relay, default=None)
            if relay is None or self.must_hold(relay):
                return
            self.waiting.pop(relay).callback(None)

    def refuse_overdue(self):
        """Refuse the requests that have just been held for too long.

        One for which there is room at that moment is next and stays.
        """
        now = self.gateway.reactor.seconds()
        for relay, limit in list(self.limits.items()):
            if now <= limit or relay not in self.waiting:
                continue
            del self.limits[relay]
            is_short = self.gateway.shares.is_short(relay.service)
            if is_short and self.must_hold(relay):
                error = build_refusal(
                    relay, reason="held", message="no slot became free in time"
                )
                self.waiting.pop(relay).errback(error)
