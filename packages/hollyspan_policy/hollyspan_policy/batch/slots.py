"""Limit on the batch streams at one upstream."""

import math

from .arrivals import ArrivalEstimator
from .headroom import compute_quantile_level
from .headroom import split_reserve
from .online_load import OnlineLoad
from .window import SlidingMinimum

__all__ = ["BatchGate"]

DEFAULT_REACTION_TIME_S = 0.1
HYSTERESIS_S = 0.3
GROWTH_S_PER_SLOT = 0.025
# Largest fraction of the slots that batch work may use on load reports alone,
# while peers are silent, at a harm weight of 0.
REPORT_ONLY_SLOT_FRACTION = 0.5
# Longer than it takes for streams started by others to appear in a report.
REPORT_ONLY_GROWTH_S_PER_SLOT = 1.5


class BatchGate:
    """Limit on the batch streams that the owner of an upstream runs.

    Parameters
    ----------
    slots : int
        Streams that the upstream runs concurrently.
    reserve : int
        Slots that the service keeps free in the data centre at a harm
        weight of 0.5; see `split_reserve`.
    harm_weight : float
        Weight of online latency relative to batch throughput, from 0 to 1.
    reaction : float, optional
        Seconds from the arrival of an online request until a batch stream
        cancelled for it has freed its slot: the delay of the notice plus the
        time of the cancellation.

    Attributes
    ----------
    load : OnlineLoad
        Online load of the upstream.
    has_online_count : bool
        False until the first count of online requests is observed.
    upstreams, rank : int
        Number of upstreams of the service in the data centre, and the rank
        of this one among them.

    Notes
    -----
    The headroom is a high quantile of the online arrivals within one
    reaction time. Its level rises with the harm weight and falls with the
    number of upstreams that can serve online requests. A slot must have been
    free for some time before a batch stream starts in it (hysteresis), and
    the limit grows by one slot at a time. It falls immediately.

    While peers are silent, the load report replaces their counts. It arrives
    too late for bursts, so the limit grows slowly and only to a small
    fraction of the slots. Without either, no stream starts, and a fraction
    of the slots given by the harm weight is vacated.

    Examples
    --------
    >>> gate = BatchGate(slots=8, reserve=1, harm_weight=0.5)
    >>> gate.observe_online(3, now=0.0)
    >>> gate.count_allowed(now=0.0, running=6)
    5
    """

    __slots__ = (
        "slots",
        "reserve",
        "harm_weight",
        "load",
        "has_online_count",
        "upstreams",
        "rank",
        "arrivals",
        "min_free_slots",
        "start_limit",
        "start_limit_updated_at",
    )

    def __init__(
        self, *, slots, reserve, harm_weight, reaction=DEFAULT_REACTION_TIME_S
    ):
        self.slots = slots
        self.reserve = reserve
        self.harm_weight = harm_weight
        self.load = OnlineLoad()
        self.has_online_count = False
        self.upstreams = 1
        self.rank = 0
        self.arrivals = ArrivalEstimator(window=reaction)
        self.min_free_slots = SlidingMinimum(window=HYSTERESIS_S * harm_weight)
        self.start_limit = None
        self.start_limit_updated_at = None

    def observe_online(self, online, *, now):
        """Record the number of online requests in flight from all daemons.

        Parameters
        ----------
        online : int
        now : float
            Monotonic seconds.
        """
        self.refresh_start_limit(now=now)
        # Requests already in flight when ownership moves here are no arrivals.
        arrived = (
            max(0, online - self.load.announced)
            if self.has_online_count
            else 0
        )
        self.arrivals.observe(arrived, now=now)
        self.load.announced = online
        self.has_online_count = True
        self.min_free_slots.observe(self.count_free(), now=now)

    def observe_upstreams(self, count, *, rank, now):
        """Record the number of upstreams that can serve online requests.

        Parameters
        ----------
        count : int
            Usable upstreams of the service in the data centre.
        rank : int
            Rank of this upstream among them, from 0.
        now : float
            Monotonic seconds.
        """
        self.refresh_start_limit(now=now)
        self.upstreams = max(1, count)
        self.rank = rank

    def observe_peers(self, are_live, *, now):
        """Record whether all peers that may send online requests are live.

        Parameters
        ----------
        are_live : bool
        now : float
            Monotonic seconds.
        """
        self.refresh_start_limit(now=now)
        self.load.peers_live = are_live
        self.min_free_slots.observe(self.count_free(), now=now)

    def observe_report(self, *, running, waiting, batch, now):
        """Record a load report of the upstream.

        Parameters
        ----------
        running, waiting : int
            Reported streams, online and batch.
        batch : int
            Batch streams that the owner runs there.
        now : float
            Monotonic seconds.
        """
        self.refresh_start_limit(now=now)
        self.load.observe_report(
            running=running, waiting=waiting, batch=batch, now=now
        )
        self.min_free_slots.observe(self.count_free(), now=now)

    def refresh_start_limit(self, *, now):
        """Update the start limit before the number of free slots changes.

        Otherwise, time spent at the old ceiling would count as growth towards
        the new one.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self.update_start_limit(
            headroom=self.estimate_headroom(now=now), now=now
        )

    def count_free(self):
        """Count the slots that online work leaves free, including headroom.

        Returns
        -------
        int
        """
        return max(0, self.slots - self.load.count())

    def estimate_headroom(self, *, now):
        """Estimate the number of slots to keep free for online arrivals.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        int
        """
        level = compute_quantile_level(
            self.harm_weight, upstreams=self.upstreams
        )
        expected = self.arrivals.estimate_quantile(level, now=now)
        floor = split_reserve(
            self.reserve,
            harm_weight=self.harm_weight,
            upstreams=self.upstreams,
            rank=self.rank,
        )
        return min(self.slots, max(expected, floor))

    def count_allowed(self, *, now, running=None):
        """Return the number of batch streams that may run now.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        running : int, optional
            Number of running batch streams. When given, running streams may
            use part of the headroom, so that a single arrival does not
            preempt them.

        Returns
        -------
        int
            If greater than ``running``, streams may start; if smaller, the
            difference is to be preempted.
        """
        if self.load.is_unknown(now=now):
            return self.count_without_load(running=running)
        headroom = self.estimate_headroom(now=now)
        start_limit = self.update_start_limit(headroom=headroom, now=now)
        if not self.load.peers_live:
            return min(start_limit, self.count_from_report())
        if running is None:
            return start_limit
        kept_headroom = math.floor(headroom * self.harm_weight)
        run_limit = max(0, self.count_free() - kept_headroom)
        return min(max(running, start_limit), run_limit)

    def count_from_report(self):
        """Return the number of streams that may run on load reports alone.

        Returns
        -------
        int
        """
        fraction = (1 - self.harm_weight) * REPORT_ONLY_SLOT_FRACTION
        return math.floor(self.slots * fraction)

    def count_without_load(self, *, running):
        """Return the number of streams that may continue without known load.

        Parameters
        ----------
        running : int or None

        Returns
        -------
        int
        """
        if running is None:
            return 0
        max_running = math.floor(self.slots * (1 - self.harm_weight))
        return min(running, self.count_free(), max_running)

    def update_start_limit(self, *, headroom, now):
        """Update and return the number of streams up to which new ones start.

        Parameters
        ----------
        headroom : int
        now : float
            Monotonic seconds.

        Returns
        -------
        int
        """
        min_free_slots = self.min_free_slots.find(now=now)
        free = self.count_free() if min_free_slots is None else min_free_slots
        ceiling = max(0, min(free, self.count_free()) - headroom)
        if self.start_limit is None:
            self.start_limit = float(ceiling)
        else:
            seconds_per_slot = GROWTH_S_PER_SLOT
            if not self.load.peers_live:
                seconds_per_slot = REPORT_ONLY_GROWTH_S_PER_SLOT
            growth = (
                max(0.0, now - self.start_limit_updated_at) / seconds_per_slot
            )
            self.start_limit = min(ceiling, self.start_limit + growth)
        self.start_limit_updated_at = now
        return int(self.start_limit)
