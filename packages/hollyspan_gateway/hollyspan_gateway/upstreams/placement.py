"""Where online requests go, and what that adds to the upstreams' load."""

import contextlib
import math

from hollyspan_core.errors import OverloadedError
from hollyspan_core.errors import StreamStalledError
from hollyspan_core.errors import UpstreamUnavailableError
from hollyspan_core.errors import UpstreamUnreachableError
from hollyspan_policy.admission import decide_admission
from hollyspan_policy.admission import must_hold
from hollyspan_policy.hashing import hash_to_fraction
from hollyspan_policy.routing import choose_fastest_upstream
from hollyspan_policy.routing import estimate_wait
from hollyspan_policy.routing import UpstreamView

__all__ = ["Placement"]

# Mean time that an online request holds a slot, seconds, until the gateway
# has measured it: some 270 tokens at 2.6 ms a step.
INITIAL_SERVICE_S = 0.7
# Weight of one measured service time in the moving mean.
SERVICE_WEIGHT = 0.05
# Mean time after which refused clients come back, seconds: about one online
# request's time in a slot.
RETRY_AFTER_S = 0.6


class Placement:
    """Chooses upstreams and counts the requests of this gateway there.

    Parameters
    ----------
    reactor : twisted reactor
    directory : Directory
    data_centre : str
    find_region : callable
        Returns the region of a data centre.
    has_current_remote_load : callable
        Tells whether the load in other regions is known at once.
    on_change : callable
        Called with an Upstream whose counts have changed, and whether only
        those of batch work have.
    """

    def __init__(
        self,
        *,
        reactor,
        directory,
        data_centre,
        find_region,
        has_current_remote_load,
        on_change,
    ):
        self.reactor = reactor
        self.directory = directory
        self.data_centre = data_centre
        self.find_region = find_region
        self.region = find_region(data_centre)
        self.has_current_remote_load = has_current_remote_load
        self.on_change = on_change
        self.service_seconds = INITIAL_SERVICE_S

    def choose(self, service, *, key, excluded, outcome, seconds_left):
        """Choose the upstream for an online request.

        Parameters
        ----------
        service : str
        key : str
            Identifier of the request.
        excluded : collection of str
            Upstreams tried already.
        outcome : Outcome
            Whether the request can have run.
        seconds_left : float
            Time in which the answer must begin.

        Returns
        -------
        Upstream

        Raises
        ------
        OverloadedError
            No upstream can take the request now.
        """
        views = self.build_views(service)
        admission = decide_admission(
            views,
            service_seconds=self.service_seconds,
            deadline_seconds=seconds_left,
        )
        if views and not admission.admitted:
            raise OverloadedError(
                f"the wait of {admission.expected_wait:.1f} s is too long",
                outcome=outcome,
                retry_after=admission.retry_after,
            )
        view = choose_fastest_upstream(
            views,
            data_centre=self.data_centre,
            is_same_region=self.is_same_region,
            has_current_remote_load=self.has_current_remote_load(),
            service_seconds=self.service_seconds,
            excluded=excluded,
            seed=key,
        )
        if view is None:
            raise OverloadedError(
                "no upstream of the service takes new work",
                outcome=outcome,
                retry_after=self.choose_retry_after(key),
            )
        return self.directory.upstreams[view.name]

    def must_hold(self, service, *, seconds_to_aim, seconds_left):
        """Tell whether a new request waits here rather than in a queue.

        Parameters
        ----------
        service : str
        seconds_to_aim, seconds_left : float
            See `hollyspan_policy.admission.must_hold`.

        Returns
        -------
        bool
        """
        return must_hold(
            self.build_views(service),
            service_seconds=self.service_seconds,
            seconds_to_aim=seconds_to_aim,
            seconds_left=seconds_left,
        )

    def choose_retry_after(self, key):
        """Return when a refused client may come back, seconds.

        Parameters
        ----------
        key : str
            Identifier of the request, which spreads clients over time so that
            they do not come back together.
        """
        return RETRY_AFTER_S * (0.5 + hash_to_fraction("retry", key))

    def estimate_wait(self, upstream):
        """Estimate the wait of an online request just sent, seconds."""
        view = self.build_view(upstream, self.reactor.seconds())
        return estimate_wait(view, service_seconds=self.service_seconds)

    def has_better(self, upstream, *, excluded):
        """Tell whether a silent upstream is worth leaving.

        Parameters
        ----------
        upstream : Upstream
            Where a request waits.
        excluded : collection of str
            Upstreams that it was sent to.

        Returns
        -------
        bool
            True when another one has just shown that it has room; where all
            are full, the place in the queue is worth more than a new one.
        """
        now = self.reactor.seconds()
        return any(
            other.is_reported(now=now)
            and not other.waiting
            and other.count_online() + other.hidden < other.entry.slots
            and other.suspect_until <= now
            for other in self.directory.list_usable(upstream.entry.service)
            if other.entry.name not in excluded
        )

    def describe(self, upstream):
        """Return what is believed of an upstream, for a log line.

        Parameters
        ----------
        upstream : Upstream

        Returns
        -------
        dict
            Requests in flight, expected wait, and the age of the upstream's
            last report, seconds.
        """
        now = self.reactor.seconds()
        view = self.build_view(upstream, now)
        wait = estimate_wait(view, service_seconds=self.service_seconds)
        age = now - upstream.reported_at
        return {
            "online": view.online,
            "batch": view.batch,
            "hidden": view.hidden,
            "waiting": view.waiting,
            "expected_wait": round(wait, 3),
            "report_age": None if math.isinf(age) else round(age, 3),
        }

    def is_same_region(self, data_centre):
        """Tell whether a data centre is in the own region."""
        return self.find_region(data_centre) == self.region

    def build_views(self, service, *, with_suspects=True):
        """Return what is known of the upstreams of a service."""
        now = self.reactor.seconds()
        upstreams = self.directory.list_usable(service)
        trusted = [each for each in upstreams if each.suspect_until <= now]
        if trusted or not with_suspects:
            upstreams = trusted
        return [self.build_view(upstream, now) for upstream in upstreams]

    def build_view(self, upstream, now):
        """Return what is known of one upstream."""
        is_reported = upstream.is_reported(now=now)
        online, batch = upstream.count_online(), upstream.count_batch()
        if upstream.has_total(now=now):
            # Gateways of its region hear of each change there at once.
            online = max(upstream.online, upstream.total[0])
            batch = max(upstream.batch, upstream.total[1])
        return UpstreamView(
            name=upstream.entry.name,
            data_centre=upstream.entry.data_centre,
            slots=upstream.entry.slots,
            online=online,
            batch=batch,
            waiting=upstream.waiting if is_reported else 0,
            hidden=upstream.hidden if is_reported else 0,
        )

    @contextlib.contextmanager
    def hold_online(self, upstream):
        """Count an online request at an upstream while it is there."""
        started = self.reactor.seconds()
        upstream.online += 1
        self.on_change(upstream, is_batch_only=False)
        try:
            yield
        finally:
            upstream.online -= 1
            spent = self.reactor.seconds() - started
            self.service_seconds += SERVICE_WEIGHT * (
                spent - self.service_seconds
            )
            self.on_change(upstream, is_batch_only=False)

    def note_reply(self, upstream, reply):
        """Take note of the head of an answer."""
        if reply.load is not None:
            running, waiting, _ = reply.load
            upstream.take_report(running, waiting, now=self.reactor.seconds())
            upstream.news = (running, waiting)
            self.on_change(upstream, is_batch_only=False)
        if not reply.has_not_run:
            self.directory.note_success(upstream)

    def note_failure(self, upstream, failure):
        """Take note of a send that failed."""
        if isinstance(failure, UpstreamUnreachableError):
            self.directory.note_unreachable(upstream)
            self.on_change(upstream, is_batch_only=False)
        elif isinstance(
            failure, (UpstreamUnavailableError, StreamStalledError)
        ):
            self.directory.note_failure(upstream)
