"""Placement of online requests on upstreams."""

import collections
import contextlib
import math

from hollyspan_core.errors import OverloadedError
from hollyspan_policy.admission import decide_admission
from hollyspan_policy.admission import must_hold
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.hashing import hash_to_fraction
from hollyspan_policy.pace import list_with_room
from hollyspan_policy.rates import must_hold_for_rate
from hollyspan_policy.routing import choose_fastest_upstream
from hollyspan_policy.routing import estimate_wait
from hollyspan_policy.routing import UpstreamView
from hollyspan_policy.streams import find_scarce_versions

from .alternatives import Alternatives
from .failed_send import note_failed_send
from .load_reports import LoadReports
from .outliers import Outliers
from .pace import Paces
from .rate_limits import RateLimits
from .speeds import Speeds
from .timed_run import RunKind

__all__ = ["Placement"]

# Mean time that an online request occupies a slot, assumed until the gateway
# has measured it: about 270 tokens at 2.6 ms a step.
INITIAL_SERVICE_TIME_S = 0.7
# Weight of one measured service time in the exponential moving average.
SERVICE_TIME_WEIGHT = 0.05
# Delay that is accepted at other upstreams while a limited one saves requests
# for the next wave: more than between regions, less than that of a preemption.
RESERVE_COST_S = 0.04
# The same while only one upstream has the software version: a stream that
# begins there cannot go on elsewhere.
SCARCE_VERSION_COST_S = 0.04
# The same for one that only other gateways reach: the way over one of them.
FORWARDING_COST_S = 0.02
# The same for one whose last run has failed, when the request can run only
# once: less than a second run would cost.
DOUBT_COST_S = 0.1
# The same for one that is another process than its entry's: a stream that
# begins there cannot go on elsewhere.
REPLACED_COST_S = 0.1
# Mean retry-after time of rejected clients: about the time that one online
# request occupies a slot.
RETRY_AFTER_S = 0.6


class Placement:
    """Chooses upstreams for requests and counts those in flight there.

    Parameters
    ----------
    reactor : twisted reactor
    directory : Directory
    data_centre : str
    find_region : callable
        Returns the region of a data centre.
    has_current_remote_load : callable
        Returns whether changes of load in other regions are sent at once.
    on_change : callable
        Called with an Upstream whose counts have changed; `is_batch_only`
        is true if only the count of batch items has.
    identifier : str
    list_sharers, has_batch_work : callable
        See `RateLimits`.
    is_lost : callable
        Called with an Upstream, returns whether only other gateways reach it.
    on_link_failure : callable
        See `Reach.note_failure`.
    find_version : callable, optional
        Called with an Upstream, returns the key of its version, None while
        that is not known; by default that of its entry.
    measures_speeds : bool, optional
        See `Speeds`.
    paces_upstreams : bool, optional
        See `Paces`.

    Attributes
    ----------
    rate_limits : RateLimits
    paces : Paces
    outliers : Outliers
    speeds : Speeds
    load_reports : LoadReports
    alternatives : Alternatives
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
        identifier,
        list_sharers,
        has_batch_work,
        is_lost,
        on_link_failure,
        find_version=None,
        measures_speeds=False,
        paces_upstreams=False,
    ):
        self.reactor = reactor
        self.directory = directory
        self.data_centre = data_centre
        self.find_region = find_region
        self.region = find_region(data_centre)
        self.has_current_remote_load = has_current_remote_load
        self.on_change = on_change
        self.is_lost = is_lost
        self.on_link_failure = on_link_failure
        self.find_version = find_version or get_entry_version
        self.service_seconds = INITIAL_SERVICE_TIME_S
        self.paces = Paces(
            reactor=reactor,
            directory=directory,
            region=hash_parts(self.region),
            is_enabled=paces_upstreams,
            on_change=self.announce,
        )
        self.outliers = Outliers(directory=directory, paces=self.paces)
        self.speeds = Speeds(
            reactor=reactor, directory=directory, measures_all=measures_speeds
        )
        self.load_reports = LoadReports(reactor=reactor, speeds=self.speeds)
        self.alternatives = Alternatives(placement=self)
        self.rate_limits = RateLimits(
            reactor=reactor,
            directory=directory,
            identifier=identifier,
            list_sharers=list_sharers,
            has_batch_work=has_batch_work,
            on_change=self.announce,
        )

    def announce(self, upstream):
        """Tell the peers what an answer has shown of its upstream."""
        self.on_change(upstream, is_batch_only=False)

    def choose(
        self,
        service,
        *,
        key,
        excluded,
        outcome,
        seconds_left,
        version=None,
        is_continued=False,
        can_forward=False,
        is_repeatable=False,
    ):
        """Choose the upstream for an online request.

        Parameters
        ----------
        service : str
        key : str
            Identifier of the request.
        excluded : collection of str
            Names of the upstreams that were tried already.
        outcome : Outcome
            Whether the request may have run.
        seconds_left : float
            Time until the request's deadline.
        version : int, optional
            Key of the software version at which it has to go on.
        is_continued : bool, optional
            True when its answer has begun; it may then be sent ahead of the
            rate limits if all upstreams have one.
        can_forward : bool, optional
            True when another gateway can run the request, at an upstream that
            this one does not reach.
        is_repeatable : bool, optional
            True when the request can run elsewhere if it fails, so that it
            may show whether an upstream that was set aside is sound.

        Returns
        -------
        Upstream

        Raises
        ------
        OverloadedError
            No upstream can accept the request now.
        """
        views = self.build_views(
            service,
            version=version,
            excluded=excluded,
            can_forward=can_forward,
            is_repeatable=is_repeatable,
        )
        admission = decide_admission(
            views,
            service_seconds=self.service_seconds,
            deadline_seconds=seconds_left,
        )
        if views and not admission.admitted:
            raise OverloadedError(
                f"the expected wait of {admission.expected_wait:.1f} s is too "
                "long",
                outcome=outcome,
                retry_after=admission.retry_after,
            )
        view = self.choose_view(views, key=key, excluded=excluded)
        if view is None and is_continued:
            views = self.build_views(
                service,
                version=version,
                excluded=excluded,
                is_continued=True,
                can_forward=can_forward,
                is_repeatable=is_repeatable,
            )
            view = self.choose_view(views, key=key, excluded=excluded)
        if view is None:
            raise OverloadedError(
                "no upstream of the service accepts new work",
                outcome=outcome,
                retry_after=self.choose_retry_after(key),
            )
        return self.directory.upstreams[view.name]

    def choose_view(self, views, *, key, excluded):
        """Return the view of the upstream to send to, or None."""
        return choose_fastest_upstream(
            list_with_room(
                views,
                excluded=excluded,
                service_seconds=self.service_seconds,
                seed=key,
            ),
            data_centre=self.data_centre,
            is_same_region=self.is_same_region,
            has_current_remote_load=self.has_current_remote_load(),
            service_seconds=self.service_seconds,
            excluded=excluded,
            seed=key,
        )

    def serves_version(self, service, version):
        """Return whether an upstream of a version may accept new work.

        Among them are those that may be another process by now.
        """
        return any(
            upstream.entry.version_key == version
            and not upstream.incarnation.is_gone
            for upstream in self.directory.list_usable(service)
        )

    def must_hold(
        self,
        service,
        *,
        seconds_to_target,
        seconds_left,
        ahead=0,
        can_forward=False,
    ):
        """Return whether to hold a new request rather than queue it.

        Parameters
        ----------
        service : str
        seconds_to_target, seconds_left : float
            See `hollyspan_policy.admission.must_hold`.
        ahead : int, optional
            Number of requests that are held already.
        can_forward : bool, optional
            See `choose`.

        Returns
        -------
        bool
        """
        views = self.build_views(service, can_forward=can_forward)
        if not views:
            first_wait, rate = self.rate_limits.measure_wait(service)
            return must_hold_for_rate(
                first_wait=first_wait,
                rate=rate,
                ahead=ahead,
                seconds_left=seconds_left,
            )
        return must_hold(
            list_with_room(views),
            service_seconds=self.service_seconds,
            seconds_to_target=seconds_to_target,
            seconds_left=seconds_left,
        )

    def choose_retry_after(self, key):
        """Return the retry-after time of a rejected client in seconds.

        Parameters
        ----------
        key : str
            Identifier of the request; spreads the retries of clients over
            time.
        """
        return RETRY_AFTER_S * (0.5 + hash_to_fraction("retry", key))

    def estimate_wait(self, upstream):
        """Estimate the wait in seconds of an online request just sent."""
        view = self.build_view(upstream, self.reactor.seconds())
        return estimate_wait(view, service_seconds=self.service_seconds)

    def describe(self, upstream):
        """Return the estimated load of an upstream, for a log line.

        Parameters
        ----------
        upstream : Upstream

        Returns
        -------
        dict
            Requests in flight, and in seconds the expected wait and the age
            of the upstream's last report.
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
            **({} if view.slowness == 1 else {"slowness": view.slowness}),
        }

    def is_same_region(self, data_centre):
        """Return whether a data centre is in this gateway's region."""
        return self.find_region(data_centre) == self.region

    def build_views(
        self,
        service,
        *,
        version=None,
        include_suspects=True,
        excluded=(),
        is_continued=False,
        can_forward=False,
        is_repeatable=False,
    ):
        """Return the views of the upstreams that a request may be sent to.

        Notes
        -----
        Suspects are among them if nothing is left that the request was not
        sent to. Those that only other gateways reach are among them if one
        of these can run the request, or if nothing else is left.
        """
        now = self.reactor.seconds()
        usable = self.directory.list_usable(service)
        upstreams = [
            each
            for each in usable
            if (version is None or version == self.find_version(each))
            and each.rate_limit.may_send(now=now, is_continued=is_continued)
        ]
        lost = {each for each in upstreams if self.is_lost(each)}
        outliers = self.outliers.find(
            service, usable, is_repeatable=is_repeatable
        )
        paced = self.paces.find_allowed(service)
        unsuspected = [
            each
            for each in upstreams
            if each not in outliers
            and (can_forward if each in lost else not each.is_suspect(now=now))
        ]
        is_left = any(each.entry.name not in excluded for each in unsuspected)
        if is_left or not include_suspects:
            upstreams = unsuspected
        counts = collections.Counter(
            upstream.entry.version_key for upstream in upstreams
        )
        scarce = find_scarce_versions(counts)
        return [
            self.build_view(
                upstream,
                now,
                is_scarce=upstream.entry.version_key in scarce,
                allowed=paced.get(upstream),
                is_lost=upstream in lost,
                is_doubted=(
                    not is_repeatable and upstream.outlier.is_doubted(now=now)
                ),
                is_replaced=upstream.incarnation.is_gone,
            )
            for upstream in upstreams
        ]

    def build_view(
        self,
        upstream,
        now,
        *,
        allowed=None,
        is_scarce=False,
        is_lost=False,
        is_doubted=False,
        is_replaced=False,
    ):
        """Return the view of one upstream."""
        has_recent_report = upstream.has_recent_report(now=now)
        online, batch = upstream.count_online(), upstream.count_batch()
        if upstream.has_region_total(now=now):
            # The gateways of its region receive each change there at once.
            online = max(upstream.online, upstream.region_total[0])
            batch = max(upstream.batch, upstream.region_total[1])
        return UpstreamView(
            name=upstream.entry.name,
            data_centre=upstream.entry.data_centre,
            slots=upstream.entry.slots,
            online=online,
            batch=batch,
            waiting=upstream.waiting if has_recent_report else 0,
            hidden=upstream.hidden if has_recent_report else 0,
            allowed=allowed,
            reserve_cost=RESERVE_COST_S
            * upstream.rate_limit.is_saving(now=now)
            + SCARCE_VERSION_COST_S * is_scarce
            + FORWARDING_COST_S * is_lost
            + DOUBT_COST_S * is_doubted
            + REPLACED_COST_S * is_replaced,
            slowness=self.speeds.estimate(upstream, now=now),
        )

    @contextlib.contextmanager
    def track_online(self, upstream, route=None):
        """Count an online request as in flight at an upstream.

        Yields
        ------
        TimedRun
            With a failed run the request is counted for as long as a sound
            one takes, so that an upstream that fails at once does not seem
            to be idle.
        """
        self.alternatives.budget.deposit()
        upstream.online += 1
        run = self.paces.start_run(upstream, kind=RunKind.ONLINE, route=route)
        upstream.rate_limit.spend(now=run.started_at)
        self.on_change(upstream, is_batch_only=False)
        try:
            with self.outliers.track(upstream):
                yield run
        finally:
            elapsed = self.reactor.seconds() - run.started_at
            if run.has_failed and elapsed < self.service_seconds:
                self.reactor.callLater(
                    self.service_seconds - elapsed, self.release, upstream
                )
            else:
                self.service_seconds += SERVICE_TIME_WEIGHT * (
                    elapsed - self.service_seconds
                )
                self.release(upstream)

    def release(self, upstream):
        """Count an online request as ended."""
        upstream.online -= 1
        self.on_change(upstream, is_batch_only=False)

    def note_reply(self, upstream, reply):
        """Record what an answer tells of its upstream and end a back-off."""
        if reply.is_misdirected:
            return
        if reply.is_leaving:
            self.directory.note_departure(upstream)
        self.rate_limits.note_answer(upstream, reply.rate_limit)
        self.load_reports.note_reply(upstream, reply)
        if reply.load is not None or upstream.has_unsent_departure:
            self.on_change(upstream, is_batch_only=False)
        if not reply.has_not_run:
            self.directory.note_success(upstream)

    def note_failure(self, upstream, error, *, waited_since):
        """Back off from an upstream if a send failed because of it.

        Parameters
        ----------
        upstream : Upstream
        error : HollyspanError
        waited_since : float
            Start of the send, reactor seconds.
        """
        note_failed_send(self, upstream, error, waited_since=waited_since)


def get_entry_version(upstream):
    return upstream.entry.version_key
