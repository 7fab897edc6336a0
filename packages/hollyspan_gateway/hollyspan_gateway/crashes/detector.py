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
# Time from the end of an upstream to the check of others without requests,
# whose connections are closed at the same moment, and the checks then.
CLOSED_CHECK_DELAY_S = 0.05
CLOSED_CHECKS = 4
# Time in which a closed connection tells when its upstream ended.
CLOSED_VALIDITY_S = 0.3
MAX_CLOSED = 256


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
    closed : dict
        Time at which an idle connection was closed by address, the oldest
        first.

    Notes
    -----
    A connection may break for many reasons. Only an upstream whose process has
    ended refuses the next one; a connection that is accepted is kept for later
    requests. A link that is lost may refuse it, too, so another gateway has to
    see the same. The requests are reported before: with those of some gateways
    only, the decision which of them is to blame could go wrong.
    """

    __slots__ = (
        "gateway",
        "on_end",
        "on_confirmed",
        "lost",
        "closed",
        "closed_call",
    )

    def __init__(self, *, gateway, on_end, on_confirmed):
        self.gateway = gateway
        self.on_end = on_end
        self.on_confirmed = on_confirmed
        self.lost = {}
        self.closed = {}
        self.closed_call = None

    def note_closed(self, address):
        """Note an idle connection that was closed at the other end."""
        self.closed.pop(address, None)
        self.closed[address] = self.gateway.reactor.seconds()
        if len(self.closed) > MAX_CLOSED:
            del self.closed[next(iter(self.closed))]

    def find_end(self, upstream):
        """Return the time at which an upstream that is gone seems to end."""
        now = self.gateway.reactor.seconds()
        closed_at = self.closed.get(upstream.entry.address, now)
        return closed_at if now - closed_at <= CLOSED_VALIDITY_S else now

    def schedule_closed_checks(self):
        """Check soon which idle upstreams have ended beside another one.

        Notes
        -----
        Load pattern: many upstreams are lost at one moment, and requests are
        in flight at a few of them. Upstreams close idle connections for other
        reasons, too, so that they are checked beside an end only.
        """
        if self.closed_call is None:
            self.closed_call = self.gateway.reactor.callLater(
                CLOSED_CHECK_DELAY_S, self.check_closed
            )

    def check_closed(self):
        self.closed_call = None
        since = self.gateway.reactor.seconds() - CLOSED_VALIDITY_S
        closed = {each for each, at in self.closed.items() if at >= since}
        evidence = self.gateway.guard.evidence
        suspected = [
            upstream
            for upstream in self.gateway.directory.upstreams.values()
            if upstream.entry.address in closed
            and upstream not in self.lost
            and not evidence.has_end(upstream.entry.incarnation_key)
        ]
        for upstream in suspected[:CLOSED_CHECKS]:
            self.start_check(upstream, [])

    def note_lost(self, exposure):
        """Check the upstream of an answer that was broken off."""
        upstream = exposure.upstream
        self.gateway.incarnations.note_broken_off(upstream)
        exposures = self.lost.get(upstream)
        if exposures is not None:
            if len(exposures) < MAX_LOST:
                exposures.append(exposure)
            return
        self.start_check(upstream, [exposure])

    def start_check(self, upstream, exposures):
        self.lost[upstream] = exposures
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
                self.gateway.incarnations.note_accepted(
                    upstream, asked_at=started_at
                )
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
        if not (is_refused or exposures):
            return
        eliot.log_message(
            "upstream:seems_ended",
            upstream=upstream.entry.name,
            is_refused=is_refused,
            requests=[exposure.request for exposure in exposures],
        )
        self.on_end(upstream, exposures)
        if not is_refused:
            return
        # Only what requests have met tells whether the links are lost.
        if exposures:
            reach.note_failure(
                upstream,
                is_unconnected=True,
                is_refused=True,
                waited_since=started_at,
            )
        await self.confirm(upstream)

    async def confirm(self, upstream):
        """Let other gateways tell whether an upstream has ended."""
        result = await probe_indirectly(self.gateway, upstream)
        if result in (None, IndirectResult.REFUSES):
            self.on_confirmed(upstream)
            return
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
