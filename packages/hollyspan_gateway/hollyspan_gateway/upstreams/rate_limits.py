"""Rate limits that upstreams name, shared by all gateways."""

import math

import eliot

from hollyspan_policy.rates import divide_rate_limits
from hollyspan_policy.rates import LimitedUpstream

__all__ = ["RateLimits"]

# Several upstreams name limits, and several gateways appear or leave, within
# this time.
UPDATE_DELAY_S = 0.05


class RateLimits:
    """Keeps this gateway's shares of the limits of upstreams.

    Parameters
    ----------
    reactor : twisted reactor
    directory : Directory
    identifier : str
        Identifier of this gateway.
    list_sharers : callable
        Returns the live gateways that are not shutting down, a list of
        RateSharer.
    has_batch_work : callable
        Returns whether a service has batch work.
    on_change : callable
        Called with an Upstream whose limit has changed in an answer.

    Notes
    -----
    A limit and its end come with an upstream's answers and travel to the other
    gateways with its load. Who sends how much follows from the limit and from
    the live gateways, see `hollyspan_policy.rates`.
    """

    __slots__ = (
        "reactor",
        "directory",
        "identifier",
        "list_sharers",
        "has_batch_work",
        "on_change",
        "update_call",
    )

    def __init__(
        self,
        *,
        reactor,
        directory,
        identifier,
        list_sharers,
        has_batch_work,
        on_change,
    ):
        self.reactor = reactor
        self.directory = directory
        self.identifier = identifier
        self.list_sharers = list_sharers
        self.has_batch_work = has_batch_work
        self.on_change = on_change
        self.update_call = None

    def note_answer(self, upstream, per_second):
        """Apply the limit in an answer to this gateway.

        Parameters
        ----------
        upstream : Upstream
        per_second : float or None
        """
        if self.note(upstream, per_second, at=self.reactor.seconds()):
            self.on_change(upstream)

    def apply_report(self, upstream, report):
        """Apply the limit that a peer has seen in an answer."""
        at = self.reactor.seconds() - report.age
        self.note(upstream, report.per_second, at=at)

    def note(self, upstream, per_second, *, at):
        if not upstream.rate_limit.note(per_second, at=at):
            return False
        eliot.log_message(
            "upstream:limited",
            upstream=upstream.entry.name,
            per_second=per_second,
        )
        if per_second is not None:
            # Until its share is computed.
            upstream.rate_limit.set_share(0.0, now=self.reactor.seconds())
        self.schedule_update()
        return True

    def schedule_update(self):
        """Compute the shares anew, a little later for several changes."""
        if self.update_call is None:
            self.update_call = self.reactor.callLater(
                UPDATE_DELAY_S, self.update_shares
            )

    def update_shares(self):
        """Compute the shares from the limits and the live gateways."""
        self.update_call = None
        limited = {}
        for upstream in self.directory.upstreams.values():
            if upstream.rate_limit.per_second is not None:
                limited.setdefault(upstream.entry.service, []).append(upstream)
        if not limited:
            return
        sharers = self.list_sharers()
        now = self.reactor.seconds()
        for service, upstreams in limited.items():
            shares = divide_rate_limits(
                [
                    LimitedUpstream(
                        name=upstream.entry.name,
                        region=upstream.region,
                        per_second=upstream.rate_limit.per_second,
                    )
                    for upstream in upstreams
                ],
                sharers=sharers,
                is_batch_included=self.has_batch_work(service),
            )
            for upstream in upstreams:
                share = shares[upstream.entry.name].get(self.identifier, 0.0)
                upstream.rate_limit.set_share(share, now=now)

    def measure_wait(self, service):
        """Return when and how often this gateway may send to a service.

        Parameters
        ----------
        service : str

        Returns
        -------
        (float, float)
            Seconds until a request may be sent to one of the limited
            upstreams, and the sum of the shares in requests a second.
        """
        now = self.reactor.seconds()
        buckets = [
            upstream.rate_limit.bucket
            for upstream in self.directory.list_usable(service)
            if upstream.rate_limit.bucket is not None
        ]
        first_wait = min(
            (bucket.measure_wait(now=now) for bucket in buckets),
            default=math.inf,
        )
        return first_wait, sum(bucket.rate for bucket in buckets)
