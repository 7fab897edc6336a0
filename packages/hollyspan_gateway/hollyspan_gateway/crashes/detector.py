"""Detection of upstreams that have ended."""

import eliot
from twisted.internet import defer

from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import StreamStalledError
from hollyspan_core.errors import UpstreamConnectionRefusedError
from hollyspan_core.errors import UpstreamUnavailableError

from ..clock import wait
from ..indirect_probes import IndirectResult
from ..indirect_probes import probe_indirectly

__all__ = ["EndDetector", "is_broken_off"]

# Limit on the lost exposures that are kept until an upstream's check ends.
MAX_LOST = 64
# Time in which probes show whether the gateway has lost its links: that of a
# connection attempt and some round trips.
LINKS_DECISION_S = 0.5
LINKS_CHECK_INTERVAL_S = 0.02


class EndDetector:
    """Finds out whether upstreams that broke off answers have ended.

    Parameters
    ----------
    gateway : Gateway
    on_end : callable
        Called with the Upstream and the exposures that its end has broken
        off.

    Attributes
    ----------
    lost : dict
        Broken off exposures by upstream, while its check runs.

    Notes
    -----
    A connection may break for many reasons. Only an upstream whose process has
    ended refuses the next one; a connection that is accepted is kept for later
    requests. A link that is lost may refuse it, too, so other gateways have to
    see the same.
    """

    __slots__ = ("gateway", "on_end", "lost")

    def __init__(self, *, gateway, on_end):
        self.gateway = gateway
        self.on_end = on_end
        self.lost = {}

    def note_lost(self, exposure):
        """Check the upstream of an answer that was broken off."""
        upstream = exposure.upstream
        exposures = self.lost.get(upstream)
        if exposures is not None:
            if len(exposures) < MAX_LOST:
                exposures.append(exposure)
            return
        self.lost[upstream] = [exposure]
        defer.ensureDeferred(self.check(upstream)).addErrback(
            eliot.write_failure
        )

    async def check(self, upstream):
        try:
            reason = await self.find_other_cause(upstream)
        finally:
            exposures = self.lost.pop(upstream)
        if reason is None:
            eliot.log_message(
                "upstream:ended",
                upstream=upstream.entry.name,
                requests=[exposure.request for exposure in exposures],
            )
            self.on_end(upstream, exposures)
            return
        eliot.log_message(
            "upstream:not_ended", upstream=upstream.entry.name, reason=reason
        )

    async def find_other_cause(self, upstream):
        """Return why an upstream is not known to have ended, or None."""
        reach = self.gateway.reach
        started_at = self.gateway.reactor.seconds()
        while reach.is_cut_off:
            elapsed = self.gateway.reactor.seconds() - started_at
            if reach.is_confirmed or elapsed > LINKS_DECISION_S:
                return "the links are lost"
            await wait(self.gateway.reactor, LINKS_CHECK_INTERVAL_S)
        started_at = self.gateway.reactor.seconds()
        try:
            await self.gateway.pool.open_idle(upstream.entry.address)
            return "it accepts connections"
        except UpstreamConnectionRefusedError:
            result = await probe_indirectly(self.gateway, upstream)
        except UpstreamUnavailableError as error:
            return error.message
        if result is IndirectResult.ACCEPTS:
            upstream.link.note_answer_elsewhere(
                now=self.gateway.reactor.seconds()
            )
            reach.note_failure(
                upstream, is_unconnected=True, waited_since=started_at
            )
            return "other gateways reach it"
        if result is IndirectResult.UNKNOWN:
            return "no other gateway can tell"
        return None


def is_broken_off(error):
    """Return whether an upstream may have ended in the midst of an answer."""
    return isinstance(error, StreamLostError) and not isinstance(
        error, StreamStalledError
    )
