"""Count of a workspace's requests over all daemons, at one of its keepers."""

import collections
import math

from .steps import choose_limited_delay

__all__ = ["RateLedger"]

# Time over which demand is measured.
DEMAND_S = 0.5
# Time in which what the bucket holds beyond the rate may be used up.
DRAIN_S = 1.0
# A daemon with at least this demand tells its use all the time, so that its
# silence means that it is cut off or gone.
ACTIVE_DEMAND = 1.5
# Several times the interval between two messages of such a daemon.
SILENCE_S = 0.7
SILENT_MESSAGES = 2.5
# Time in which a new keeper has heard of most of the demand. Until then it
# tells no higher fraction than the one before it.
LEARNING_S = 1.5
# Interval at which silent daemons are looked for.
HEARD_INTERVAL_S = 0.1
# Time after which a silent daemon has no share: by then the membership of the
# fleet tells of it.
SHARELESS_S = 15.0
# Time after which what a silent daemon has told is forgotten.
FORGET_S = 120.0
# Part of the rate that is given out whatever is cut off.
MIN_PART = 0.05
# Part of the known daemons that is live in a fleet that has not parted.
WHOLE_PART = 0.75
# Least part of the requests that is admitted, which shows the demand.
MIN_FRACTION = 0.01


class DaemonUse:
    """What one daemon has told of its use."""

    __slots__ = ("incarnation", "admitted", "refused", "demand", "told_at")

    def __init__(self, *, incarnation):
        self.incarnation = incarnation
        self.admitted = 0
        self.refused = 0
        self.demand = 0.0
        self.told_at = 0.0


class RateLedger:
    """Token bucket of a workspace, with what each daemon has told.

    Parameters
    ----------
    rate : float
        Requests a second over all daemons.
    capacity : float
        Requests at once.
    now : float
    live_part : float, optional
        Part of the known daemons that is live.
    known_seconds : float, optional
        Time for which one of the daemons that are live has been there.

    Notes
    -----
    In a parted fleet it begins empty, since other keepers may have given out
    the burst. Else it begins full, less what the daemons have admitted of
    late by their first messages, and empty if they admit only a fraction.
    Where all daemons have started of late it holds what has come in since the
    first of them: the ones before, all ended, may have given out the burst.
    """

    __slots__ = (
        "rate",
        "capacity",
        "tokens",
        "part",
        "updated_at",
        "daemons",
        "arrivals",
        "arrived",
        "heard_part",
        "heard_at",
        "learned_at",
        "inherited",
    )

    def __init__(
        self, *, rate, capacity, now, live_part=1.0, known_seconds=math.inf
    ):
        self.rate = rate
        self.capacity = capacity
        self.tokens = 0.0
        if live_part > WHOLE_PART:
            self.tokens = min(capacity, known_seconds * rate)
        self.part = 1.0
        self.updated_at = now
        self.daemons = {}
        self.arrivals = collections.deque()
        self.arrived = 0
        self.heard_part = 1.0
        self.heard_at = -math.inf
        self.learned_at = now + LEARNING_S
        self.inherited = 1.0

    def set_limit(self, *, rate, capacity, now):
        """Set another limit from now on."""
        if (rate, capacity) != (self.rate, self.capacity):
            self.refill(now=now)
            self.rate, self.capacity = rate, capacity
            self.refill(now=now)

    def refill(self, *, now):
        """Add the tokens of the time that has passed."""
        elapsed = max(0.0, now - self.updated_at)
        self.tokens = min(
            self.capacity * self.part,
            self.tokens + elapsed * self.rate * self.part,
        )
        self.updated_at = now

    def note_use(self, daemon, use, *, incarnation, now):
        """Count what a daemon has admitted and refused since its last message.

        Parameters
        ----------
        daemon : object
            Key of the daemon.
        use : RateUse
        incarnation : int
            Its start time.
        now : float
        """
        self.refill(now=now)
        known = self.daemons.get(daemon)
        if known is None or known.incarnation != incarnation:
            known = DaemonUse(incarnation=incarnation)
            self.daemons[daemon] = known
            admitted = min(use.admitted, use.recent)
            asked = max(admitted, round(use.demand * DEMAND_S))
            if use.fraction < 1.0 and now < self.learned_at:
                # The bucket was used up before this keeper knew of it.
                self.tokens = min(self.tokens, 0.0)
                self.inherited = min(self.inherited, use.fraction)
        else:
            admitted = use.admitted - known.admitted
            asked = max(0, admitted) + max(0, use.refused - known.refused)
        self.tokens -= admitted
        known.admitted, known.refused = use.admitted, use.refused
        known.demand = use.demand
        known.told_at = now
        if asked:
            self.arrivals.append((now, asked))
            self.arrived += asked
        self.forget(now=now)

    def forget(self, *, now):
        """Forget arrivals and daemons of some time ago."""
        while self.arrivals and self.arrivals[0][0] <= now - DEMAND_S:
            self.arrived -= self.arrivals.popleft()[1]

    def forget_daemons(self, *, now):
        """Forget the daemons that have told nothing for some time."""
        for key in list(self.daemons):
            if now - self.daemons[key].told_at > FORGET_S:
                del self.daemons[key]

    def list_sharing(self, *, now):
        """Return the uses of the daemons that have a share."""
        return [
            each
            for each in self.daemons.values()
            if now - each.told_at <= SHARELESS_S
        ]

    def measure_share(self, daemon, *, now):
        """Return a daemon's part of the demand of all daemons."""
        total = sum(each.demand for each in self.list_sharing(now=now))
        known = self.daemons.get(daemon)
        if known is None or not total:
            return 0.0
        return min(1.0, known.demand / total)

    def measure_heard_part(self, *, now):
        """Return the part of the demand that is not at silent daemons."""
        if now - self.heard_at < HEARD_INTERVAL_S:
            return self.heard_part
        self.heard_at = now
        silence = max(
            SILENCE_S,
            SILENT_MESSAGES * choose_limited_delay(len(self.daemons)),
        )
        total = silent = 0.0
        for each in self.list_sharing(now=now):
            total += each.demand
            if each.demand >= ACTIVE_DEMAND and now - each.told_at > silence:
                silent += each.demand
        self.heard_part = 1.0 - silent / total if total else 1.0
        return self.heard_part

    def choose_fraction(self, *, live_part, now):
        """Choose the part of the requests that all daemons admit.

        Parameters
        ----------
        live_part : float
            Part of the known daemons that is live.
        now : float

        Returns
        -------
        float
            1 while the demand fits.

        Notes
        -----
        Load pattern: a workspace sends three to six times its usual, through
        hundreds of daemons with some requests a second each, or through one.
        A fraction needs no shares of the daemons and holds for a caller that
        moves; since it falls with the tokens that are left, no daemon admits
        much before it knows of the flood. Daemons that have fallen silent may
        be cut off and go on at their share, which is left to them.
        """
        self.part = min(
            live_part, max(MIN_PART, self.measure_heard_part(now=now))
        )
        self.refill(now=now)
        self.forget(now=now)
        demand = max(1, self.arrived) / DEMAND_S
        supply = self.rate * self.part + self.tokens / DRAIN_S
        most = self.inherited if now < self.learned_at else 1.0
        if demand <= supply:
            return most
        return max(MIN_FRACTION, min(most, supply / demand))
