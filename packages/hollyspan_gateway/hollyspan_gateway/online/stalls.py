"""Attempts that bring nothing for a time."""

from hollyspan_core.errors import StreamStalledError

from ..routes import RouteKind

__all__ = ["EVENT_PAUSE_TIMEOUT_S", "FIRST_EVENT_TIMEOUT_S", "Stalls"]

# Timeout of a stream's first event beyond the expected wait for a slot:
# several times its usual latency, and short enough that another upstream can
# still deliver it within the usual latency target of 300 ms.
FIRST_EVENT_TIMEOUT_S = 0.2
# Timeout between two events: ten times the usual interval, and short enough
# that the pause including a failover stays below the 400 ms of the strictest
# route.
EVENT_PAUSE_TIMEOUT_S = 0.25
# Time beyond the expected wait without an event, but with other bytes, after
# which a stream moves if another upstream has room: comments show that the
# upstream is there, so that it is longer than after a silence.
EVENTLESS_TIMEOUT_S = 1.0


class Stalls:
    """Decides when a request leaves a silent upstream.

    Parameters
    ----------
    relay : Relay

    Attributes
    ----------
    event_due_at : float
        Time from which an attempt without a new event has stalled, reactor
        seconds.
    last_event : int or None
        Last event that the client had then.
    """

    __slots__ = ("relay", "event_due_at", "last_event")

    def __init__(self, *, relay):
        self.relay = relay
        self.event_due_at = 0.0
        self.last_event = None

    def start(self):
        """Note the start of an attempt."""
        relay = self.relay
        self.last_event = relay.delivery.last_event
        self.event_due_at = (
            relay.sent_at
            + EVENTLESS_TIMEOUT_S
            + (self.find_first_event_timeout() or 0.0)
        )

    def can_fail_over(self):
        """Return whether the request may move from a silent upstream."""
        relay = self.relay
        return (
            relay.route.kind is RouteKind.STREAM
            and relay.continuation.may_break_off()
        )

    def may_abandon(self):
        """Return whether another upstream has shown free capacity.

        Another gateway is asked instead if links of this one are lost.
        """
        relay = self.relay
        if not relay.continuation.may_break_off():
            # Its key or a part of its prompt may not be sent any more.
            return False
        reach = relay.gateway.reach
        if (relay.is_forwarded or relay.can_hop()) and reach.leaves_silence(
            relay.upstream, since=relay.sent_at
        ):
            return True
        return relay.gateway.placement.alternatives.has_free(
            relay.upstream,
            version=relay.version,
            excluded=relay.continuation.list_excluded(),
            silence=relay.delivery.measure_silence(since=relay.sent_at),
        )

    def find_first_event_timeout(self):
        """Return the timeout of the first event in seconds, or None."""
        if not self.can_fail_over():
            return None
        relay = self.relay
        return FIRST_EVENT_TIMEOUT_S + relay.gateway.placement.estimate_wait(
            relay.upstream
        )

    def find_pause_timeout(self):
        """Return the timeout between two events in seconds, or None."""
        return EVENT_PAUSE_TIMEOUT_S if self.can_fail_over() else None

    def require_progress(self):
        """Raise an error if a stream brings no events, but other bytes."""
        relay = self.relay
        now = relay.gateway.reactor.seconds()
        if relay.delivery.last_event != self.last_event:
            self.last_event = relay.delivery.last_event
            self.event_due_at = now + EVENTLESS_TIMEOUT_S
        elif (
            now > self.event_due_at
            and self.can_fail_over()
            and self.may_abandon()
        ):
            raise StreamStalledError("no event received, but other bytes")
