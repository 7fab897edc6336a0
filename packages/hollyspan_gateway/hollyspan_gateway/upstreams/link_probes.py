"""Probes that find out when links to upstreams work again."""

import eliot
from twisted.internet import defer

from hollyspan_core.errors import UpstreamUnavailableError
from hollyspan_policy.reach import is_link_lost

__all__ = ["LinkProbes"]

# Interval between two rounds of probes, short compared with the seconds for
# which links are lost, and the probes in a round.
PROBE_INTERVAL_S = 0.25
PROBES_AT_ONCE = 4
# Time in which the store drops the entry of an upstream that has ended.
ENTRY_EXPIRY_S = 5.0


class LinkProbes:
    """Opens connections to upstreams whose links may be lost.

    Parameters
    ----------
    reach : Reach

    Attributes
    ----------
    probing : set of str
        Names of the upstreams to which a probe is under way.
    call : IDelayedCall or None
        The next round.
    """

    __slots__ = ("reach", "probing", "call")

    def __init__(self, *, reach):
        self.reach = reach
        self.probing = set()
        self.call = None

    def schedule(self, delay=0.0):
        """Send the next round of probes after a delay, if none is due."""
        if self.call is None:
            self.call = self.reach.gateway.reactor.callLater(delay, self.send)

    def send(self):
        """Probe some links that may be lost, and again later."""
        self.call = None
        directory = self.reach.gateway.directory
        for name, upstream in list(self.reach.broken.items()):
            if directory.upstreams.get(name) is not upstream or not (
                upstream.link.is_broken
            ):
                del self.reach.broken[name]
                self.reach.failed.pop(name, None)
                self.reach.unconnected.pop(name, None)
        if self.reach.is_cut_off and not self.reach.probation.may_restore(
            now=self.reach.gateway.reactor.seconds()
        ):
            # Open connections would show nothing.
            self.reach.confirm_cut()
            self.schedule(PROBE_INTERVAL_S)
            return
        suspected = list(filter(self.must_probe, self.reach.broken.values()))
        if self.reach.is_cut_off or self.reach.cannot_connect:
            suspected = self.list_others() + suspected
        if self.reach.is_cut_off and not suspected:
            self.reach.end_cut()
        if not suspected:
            suspected = self.list_unused()[:1]
        for upstream in suspected[:PROBES_AT_ONCE]:
            self.start(upstream)
        # A link may turn out to be lost later, when others are answered.
        if self.reach.has_trouble:
            self.schedule(PROBE_INTERVAL_S)

    def must_probe(self, upstream):
        """Return whether a connection may show that a link works."""
        link = upstream.link
        return link.may_restore(now=self.reach.gateway.reactor.seconds()) and (
            self.reach.is_lost(upstream)
            or is_link_lost(
                failed_at=link.unconnected_at, alive_at=link.alive_at
            )
        )

    def list_unused(self):
        """Return upstreams that are listed long after their links failed.

        No request may be sent there that would show whether they work.
        """
        now = self.reach.gateway.reactor.seconds()
        return [
            upstream
            for upstream in self.reach.broken.values()
            if now - upstream.link.first_failed_at > ENTRY_EXPIRY_S
        ]

    def list_others(self):
        """Return an upstream whose link has not failed, in turn."""
        known = self.reach.gateway.directory.upstreams
        others = [
            upstream
            for name, upstream in known.items()
            if name not in self.reach.broken and upstream.accepts_work
        ]
        if not others:
            return []
        turn = self.reach.gateway.reactor.seconds() / PROBE_INTERVAL_S
        return [others[int(turn) % len(others)]]

    def start(self, upstream):
        """Start a probe, unless one to the upstream is under way."""
        name = upstream.entry.name
        if name in self.probing:
            return
        # The next round begins with the others.
        if name in self.reach.broken:
            self.reach.broken[name] = self.reach.broken.pop(name)
        self.probing.add(name)
        work = defer.ensureDeferred(self.run(upstream))
        work.addErrback(eliot.write_failure)

    async def run(self, upstream):
        """Open a connection, which is kept for later requests."""
        try:
            await self.reach.gateway.pool.open_idle(
                upstream.entry.address, hold_seconds=0.0
            )
        except UpstreamUnavailableError as error:
            eliot.log_message(
                "link:probe_failed",
                upstream=upstream.entry.name,
                reason=error.message,
            )
            # One that has failed before may have ended.
            is_other = upstream.entry.name not in self.reach.broken
            if is_other or not self.list_others():
                self.reach.confirm_cut()
            if not self.reach.is_confirmed:
                self.reach.evidence.ask(upstream)
            return
        finally:
            self.probing.discard(upstream.entry.name)
        if self.reach.broken and self.call is not None:
            self.call.reset(0.0)
