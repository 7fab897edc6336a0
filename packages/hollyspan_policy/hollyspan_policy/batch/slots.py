"""Slots of one upstream that batch work may use."""

import math

from .arrivals import ArrivalEstimator
from .headroom import compute_level
from .headroom import share_reserve
from .onlineload import OnlineLoad
from .window import SlidingMinimum

__all__ = ["BatchGate"]

REACTION_SECONDS = 0.1
HOLD_SECONDS = 0.3
GROWTH_SECONDS_PER_SLOT = 0.025
# Share of the slots that batch work gets at most without word from peers,
# at a harm weight of 0.
UNHEARD_SHARE = 0.5
# Longer than a load report takes to show what others have started.
REPORT_GROWTH_SECONDS_PER_SLOT = 1.5


class BatchGate:
    """Decides how many batch streams the owner of an upstream runs.

    Parameters
    ----------
    slots : int
        Streams that the upstream runs at once.
    reserve : int
        Slots that the service keeps free in the data centre at a harm
        weight of one half; see share_reserve.
    harm_weight : float
        Weight of harm to online latency against batch throughput, 0 to 1.
    reaction : float, optional
        Seconds from an online arrival until a cancelled batch stream has
        freed its slot: delay of the notice and time of the cancel.

    Attributes
    ----------
    load : OnlineLoad
    observed : bool
        False before the first word of the online requests.
    upstreams, rank : int
        Upstreams of the service in the data centre, and the place of this
        one among them.

    Notes
    -----
    The headroom is a high quantile of the online arrivals within one
    reaction time; its level rises with the harm weight, and falls with the
    number of upstreams that online work can turn to. A slot must have been
    free for a while before a batch stream starts in it (hysteresis), and
    the count grows by one slot at a time. It falls at once.

    Without word from the peers the load report takes their place. It comes
    too late for bursts, so the count grows slowly, to a small share.
    Without both no stream starts, and a share of the slots given by the
    harm weight is emptied.

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
        "observed",
        "upstreams",
        "rank",
        "arrivals",
        "least",
        "granted",
        "granted_at",
    )

    def __init__(
        self, *, slots, reserve, harm_weight, reaction=REACTION_SECONDS
    ):
        self.slots = slots
        self.reserve = reserve
        self.harm_weight = harm_weight
        self.load = OnlineLoad()
        self.observed = False
        self.upstreams = 1
        self.rank = 0
        self.arrivals = ArrivalEstimator(window=reaction)
        self.least = SlidingMinimum(window=HOLD_SECONDS * harm_weight)
        self.granted = None
        self.granted_at = None

    def observe_online(self, online, *, now):
        """Note the online requests in flight from all daemons.

        Parameters
        ----------
        online : int
        now : float
            Monotonic seconds.
        """
        self.settle(now=now)
        # What an owner finds when it takes over has not arrived at once.
        arrived = max(0, online - self.load.told) if self.observed else 0
        self.arrivals.observe(arrived, now=now)
        self.load.told = online
        self.observed = True
        self.least.observe(self.count_free(), now=now)

    def observe_upstreams(self, count, *, rank, now):
        """Note among how many upstreams online work can choose.

        Parameters
        ----------
        count : int
            Usable upstreams of the service in the data centre.
        rank : int
            Place of this one among them, from 0.
        now : float
            Monotonic seconds.
        """
        self.settle(now=now)
        self.upstreams = max(1, count)
        self.rank = rank

    def observe_peers(self, heard, *, now):
        """Note whether the peers that may send online work are heard.

        Parameters
        ----------
        heard : bool
        now : float
            Monotonic seconds.
        """
        self.settle(now=now)
        self.load.peers_heard = heard
        self.least.observe(self.count_free(), now=now)

    def observe_report(self, *, running, waiting, batch, now):
        """Take in the upstream's load report.

        Parameters
        ----------
        running, waiting : int
            Streams of all kinds, as reported.
        batch : int
            Batch streams that the owner runs there.
        now : float
            Monotonic seconds.
        """
        self.settle(now=now)
        self.load.observe_report(
            running=running, waiting=waiting, batch=batch, now=now
        )
        self.least.observe(self.count_free(), now=now)

    def settle(self, *, now):
        """Bring the granted count up to date before the free slots change.

        Without it, time spent at the old ceiling would count as growth
        towards the new one.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self.grant(headroom=self.estimate_headroom(now=now), now=now)

    def count_free(self):
        """Count the slots that online work leaves, headroom included.

        Returns
        -------
        int
        """
        return max(0, self.slots - self.load.count())

    def estimate_headroom(self, *, now):
        """Estimate the slots to keep free for arrivals.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        int
        """
        level = compute_level(self.harm_weight, upstreams=self.upstreams)
        expected = self.arrivals.estimate_quantile(level, now=now)
        floor = share_reserve(
            self.reserve,
            harm_weight=self.harm_weight,
            upstreams=self.upstreams,
            rank=self.rank,
        )
        return min(self.slots, max(expected, floor))

    def count_allowed(self, *, now, running=None):
        """Return how many batch streams may run now.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        running : int, optional
            Batch streams that run. When given, streams that run may use
            part of the headroom, so that one arrival does not stop them.

        Returns
        -------
        int
            Above ``running``: streams may start. Below: as many are to be
            preempted.
        """
        if self.load.is_unknown(now=now):
            return self.count_unseen(running=running)
        headroom = self.estimate_headroom(now=now)
        start = self.grant(headroom=headroom, now=now)
        if not self.load.peers_heard:
            return min(start, self.count_unheard())
        if running is None:
            return start
        kept = math.floor(headroom * self.harm_weight)
        keep = max(0, self.count_free() - kept)
        return min(max(running, start), keep)

    def count_unheard(self):
        """Return how many streams may run on the load report's word.

        Returns
        -------
        int
        """
        share = (1 - self.harm_weight) * UNHEARD_SHARE
        return math.floor(self.slots * share)

    def count_unseen(self, *, running):
        """Return how many streams may go on without any observation.

        Parameters
        ----------
        running : int or None

        Returns
        -------
        int
        """
        if running is None:
            return 0
        share = math.floor(self.slots * (1 - self.harm_weight))
        return min(running, self.count_free(), share)

    def grant(self, *, headroom, now):
        """Return the count up to which streams may start.

        Parameters
        ----------
        headroom : int
        now : float
            Monotonic seconds.

        Returns
        -------
        int
        """
        least = self.least.find(now=now)
        free = self.count_free() if least is None else least
        ceiling = max(0, min(free, self.count_free()) - headroom)
        if self.granted is None:
            self.granted = float(ceiling)
        else:
            pace = GROWTH_SECONDS_PER_SLOT
            if not self.load.peers_heard:
                pace = REPORT_GROWTH_SECONDS_PER_SLOT
            growth = max(0.0, now - self.granted_at) / pace
            self.granted = min(ceiling, self.granted + growth)
        self.granted_at = now
        return int(self.granted)
