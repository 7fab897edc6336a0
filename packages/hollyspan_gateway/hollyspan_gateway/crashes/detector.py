"""Detection of upstreams that have ended."""

import eliot
from twisted.internet import defer

from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import StreamStalledError
from hollyspan_core.errors import UpstreamConnectionRefusedError
from hollyspan_core.errors import UpstreamUnavailableError

from ..indirect_probes import IndirectResult
from ..indirect_probes import probe_indirectly

__all__ = ["EndDetector", "is_broken_off"]

# Limit on the lost exposures that are kept until an upstream's check ends.
MAX_LOST = 64


class EndDetector:
    """Finds out whether upstreams that broke off answers have ended.

    Parameters
    ----------
    gateway : Gateway
    on_end : callable
        Called with the Upstream and the exposures that its end has broken
        off.
    on_confirmed : callable
        Called with an Upstream whose end another gateway has seen, too.

    Attributes
    ----------
    lost : dict
        Broken off exposures by upstream, while its check runs.

    Notes
    -----
    A connection may break for many reasons. Only an upstream whose process has
    ended refuses the next one; a connection that is accepted is kept for later
    requests. A link that is lost may refuse it, too, so another gateway has to
    see the same. The requests are reported before: with those of some gateways
    only, the decision which of them is to blame could go wrong.
    """

    __slots__ = ("gateway", "on_end", "on_confirmed", "lost")

    def __init__(self, *, gateway, on_end, on_confirmed):
        self.gateway = gateway
        self.on_end = on_end
        self.on_confirmed = on_confirmed
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
        reach = self.gateway.reach
        started_at = self.gateway.reactor.seconds()
        is_refused = False
        try:
            if not reach.is_cut_off:
                await self.gateway.pool.open_idle(upstream.entry.address)
                for exposure in self.lost[upstream]:
                    exposure.is_upstream_alive = True
                return
        except UpstreamConnectionRefusedError:
            is_refused = True
        except UpstreamUnavailableError as error:
            eliot.log_message(
                "upstream:unchecked",
                upstream=upstream.entry.name,
                reason=error.message,
            )
            return
        finally:
            exposures = self.lost.pop(upstream)
        eliot.log_message(
            "upstream:seems_ended",
            upstream=upstream.entry.name,
            is_refused=is_refused,
            requests=[exposure.request for exposure in exposures],
        )
        self.on_end(upstream, exposures)
        if is_refused:
            reach.note_failure(
                upstream, is_unconnected=True, waited_since=started_at
            )
            await self.confirm(upstream)

    async def confirm(self, upstream):
        """Let other gateways tell whether an upstream has ended."""
        result = await probe_indirectly(self.gateway, upstream)
        if result in (None, IndirectResult.REFUSES):
            self.on_confirmed(upstream)
            return
        if result is IndirectResult.ACCEPTS:
            upstream.link.note_answer_elsewhere(
                now=self.gateway.reactor.seconds()
            )
        eliot.log_message(
            "upstream:end_in_doubt",
            upstream=upstream.entry.name,
            others=result.value,
        )


def is_broken_off(error):
    """Return whether an upstream may have ended in the midst of an answer."""
    return isinstance(error, StreamLostError) and not isinstance(
        error, StreamStalledError
    )
