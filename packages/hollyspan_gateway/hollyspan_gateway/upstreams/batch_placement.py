"""Placement of batch items on upstreams."""

import contextlib
import functools
import math

from hollyspan_policy.batch import choose_batch_upstream
from hollyspan_policy.batch import count_excess
from hollyspan_policy.batch import count_free_slots
from hollyspan_policy.batch import count_turn_slots

from .timed_run import RunKind

__all__ = ["BatchPlacement"]

# Share of a service's slots that batch work leaves free, so that new online
# requests seldom wait for a preemption.
BATCH_HEADROOM_SHARE = 0.06


class BatchPlacement:
    """Chooses upstreams for items and counts the items in flight there.

    Parameters
    ----------
    placement : Placement
        Provides the views of the upstreams.
    gateway : str
        Identifier of this gateway.
    """

    __slots__ = ("placement", "gateway")

    def __init__(self, *, placement, gateway):
        self.placement = placement
        self.gateway = gateway

    def choose(
        self,
        service,
        *,
        key,
        is_urgent,
        find_rank,
        version=None,
        avoided=(),
    ):
        """Choose the upstream for an item.

        Parameters
        ----------
        service : str
        key : str
            Identifier of the item.
        is_urgent : bool
            True when the item misses its deadline if it does not start now.
        find_rank : callable
            Called with an Upstream, returns the rank of this gateway among
            those that run items there, and their number.
        version : int, optional
            Key of the software version at which the item has to go on.
        avoided : collection of str, optional
            Names of upstreams to use only if no other one has a free slot.

        Returns
        -------
        Upstream or None
            None when batch work may use no slot.
        """
        choose = functools.partial(
            self.choose_view, key=key, find_rank=find_rank
        )
        views = self.build_views(service, version)
        others = [view for view in views if view.name not in avoided]
        headroom = 0.0 if is_urgent else BATCH_HEADROOM_SHARE
        # Online requests use few of the slots of a limited upstream.
        view = (
            choose([view for view in others if self.is_limited(view)], 0.0)
            or choose(others, headroom)
            or choose(views, headroom)
        )
        if view is None:
            return None
        upstream = self.placement.directory.upstreams[view.name]
        upstream.turns.record_start()
        return upstream

    def has_turn(self, service, *, accepts, key, find_rank, version):
        """Return whether a silent run may go to a free place now.

        Parameters
        ----------
        service : str
        accepts : callable
            Called with an Upstream, returns whether the run may move there.
        key, find_rank, version
            See `choose`; the item is urgent, and this gateway's turn counts.
        """
        upstreams = self.placement.directory.upstreams
        views = [
            view
            for view in self.build_views(service, version)
            if accepts(upstreams[view.name])
        ]
        view = self.choose_view(views, 0.0, key=key, find_rank=find_rank)
        return view is not None

    def build_views(self, service, version):
        """Return the views of the upstreams at which items may start."""
        return self.placement.build_views(
            service,
            version=version,
            include_suspects=False,
            is_repeatable=True,
        )

    def choose_view(self, views, headroom_fraction, *, key, find_rank):
        """Choose among the views of upstreams, None without a place."""
        placement = self.placement

        def count_startable(view):
            upstream = placement.directory.upstreams[view.name]
            rank, daemons = find_rank(upstream)
            return upstream.turns.count_startable(
                count_free_slots(view),
                rank=rank,
                daemons=daemons,
                now=placement.reactor.seconds(),
            )

        return choose_batch_upstream(
            views,
            data_centre=placement.data_centre,
            is_same_region=placement.is_same_region,
            has_current_remote_load=placement.has_current_remote_load(),
            headroom_fraction=headroom_fraction,
            count_startable=count_startable,
            seed=key,
        )

    def has_place(self, service):
        """Return whether batch work may use a slot, whosever turn it is."""
        placement = self.placement
        view = choose_batch_upstream(
            placement.build_views(
                service, include_suspects=False, is_repeatable=True
            ),
            data_centre=placement.data_centre,
            is_same_region=placement.is_same_region,
            has_current_remote_load=placement.has_current_remote_load(),
            headroom_fraction=BATCH_HEADROOM_SHARE,
        )
        return view is not None

    def count_places(self, service, *, accepts, version, rank, daemons):
        """Count the places that items of this gateway may move to.

        Parameters
        ----------
        service : str
        accepts : callable
            Called with an Upstream, returns whether they may move there.
        version : int or None
            Key of the software version at which they have to go on.
        rank, daemons : int
            Rank of this gateway among those that run items, and their number.
        """
        placement = self.placement
        views = [
            view
            for view in self.build_views(service, version)
            if view.serving
            and not view.waiting
            and accepts(placement.directory.upstreams[view.name])
        ]
        free = sum(max(0, count_free_slots(view)) for view in views)
        headroom = BATCH_HEADROOM_SHARE * sum(view.slots for view in views)
        return count_turn_slots(
            max(0, math.floor(free - headroom)), rank=rank, daemons=daemons
        )

    def is_limited(self, view):
        """Return whether an upstream names a rate limit."""
        upstream = self.placement.directory.upstreams[view.name]
        return upstream.rate_limit.per_second is not None

    def count_excess(self, upstream):
        """Return how many items this gateway must preempt at an upstream."""
        batch = {
            name: load[1]
            for name, load in upstream.peer_loads.items()
            if load[1]
        }
        batch[self.gateway] = upstream.batch
        view = self.placement.build_view(
            upstream, self.placement.reactor.seconds()
        )
        return count_excess(
            slots=view.slots - view.hidden,
            online=view.online,
            batch_by_daemon=batch,
            daemon=self.gateway,
        )

    @contextlib.contextmanager
    def track(self, upstream):
        """Count a batch item as in flight at an upstream.

        Yields
        ------
        TimedRun
        """
        paces = self.placement.paces
        upstream.rate_limit.spend(now=self.placement.reactor.seconds())
        upstream.batch += 1
        run = paces.start_run(upstream, kind=RunKind.BATCH)
        self.placement.on_change(upstream, is_batch_only=True)
        try:
            with self.placement.outliers.track(upstream):
                yield run
        finally:
            upstream.batch -= 1
            self.placement.on_change(upstream, is_batch_only=True)
