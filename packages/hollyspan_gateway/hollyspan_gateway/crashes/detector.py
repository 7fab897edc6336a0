"""Detection of upstreams that have ended."""

import eliot
from twisted.internet import defer

from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import StreamStalledError
from hollyspan_core.errors import UpstreamConnectionRefusedError
from hollyspan_core.errors import UpstreamUnavailableError

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

    Attributes
    ----------
    lost : dict
        Broken off exposures by upstream, while its check runs.

    Notes
    -----
    A connection may break for many reasons. Only an upstream whose process has
    ended refuses the next one; a connection that is accepted is kept for later
    requests.
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
            await self.gateway.pool.open_idle(upstream.entry.address)
        except UpstreamConnectionRefusedError:
            exposures = self.lost.pop(upstream)
            eliot.log_message(
                "upstream:ended",
                upstream=upstream.entry.name,
                requests=[exposure.request for exposure in exposures],
            )
            self.on_end(upstream, exposures)
            return
        except UpstreamUnavailableError as error:
            eliot.log_message(
                "upstream:unchecked",
                upstream=upstream.entry.name,
                reason=error.message,
            )
        self.lost.pop(upstream)


def is_broken_off(error):
    """Return whether an upstream may have ended in the midst of an answer."""
    return isinstance(error, StreamLostError) and not isinstance(
        error, StreamStalledError
    )
