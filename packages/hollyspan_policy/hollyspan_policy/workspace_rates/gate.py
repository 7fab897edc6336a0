"""Admission of a workspace's requests at one daemon."""

from .demand import DemandMeter
from .use import RateUse

__all__ = ["RateGate"]

# Time over which the demand at this daemon is measured.
MEMORY_S = 1.0
# Time without an answer after which a keeper counts as silent: several
# messages to it and the way there and back.
SILENT_KEEPER_S = 0.7
# Time for which a keeper's answer holds; it tells changes at once.
ANSWER_VALID_S = 10.0
# Part of a share that is admitted without a keeper: daemons are told of theirs
# at different moments.
CERTAIN_PART = 0.8
# Least part of an equal share that is admitted without a keeper.
MIN_PART_OF_EQUAL = 0.1


class KeeperView:
    """What this daemon knows of one keeper."""

    __slots__ = ("fraction", "answered_at", "asked_at")

    def __init__(self):
        self.fraction = 1.0
        self.answered_at = None
        # Time of the first message since the last answer.
        self.asked_at = None


class RateGate:
    """State of one workspace's rate at one daemon.

    Parameters
    ----------
    rate, capacity : float
        Token bucket of the workspace over all daemons.
    phase : float
        Part of a step that counts as admitted at first, 0 to 1; it differs
        between daemons.
    now : float

    Attributes
    ----------
    admitted, refused : int
        Requests so far.
    step : int
        Admitted requests that are told at once.
    share : float or None
        This daemon's part of the demand of all, as a keeper told last.
    """

    __slots__ = (
        "rate",
        "capacity",
        "tokens",
        "updated_at",
        "credit",
        "phase",
        "step",
        "admitted",
        "refused",
        "demand",
        "recent",
        "keepers",
        "share",
        "share_tokens",
        "is_kept",
    )

    def __init__(self, *, rate, capacity, phase, now):
        self.rate = rate
        self.capacity = capacity
        self.tokens = capacity
        self.updated_at = now
        self.credit = self.phase = phase
        self.step = 1
        self.admitted = 0
        self.refused = 0
        self.demand = DemandMeter(seconds=MEMORY_S, now=now)
        self.recent = DemandMeter(seconds=MEMORY_S, now=now)
        self.keepers = {}
        self.share = None
        self.share_tokens = 1.0
        self.is_kept = True

    def set_limit(self, *, rate, capacity):
        """Set another limit from now on."""
        self.rate, self.capacity = rate, capacity
        self.tokens = min(self.tokens, capacity)

    def set_keepers(self, identifiers):
        """Set the keepers that are told of the use from now on."""
        if list(self.keepers) != identifiers:
            self.keepers = {
                each: self.keepers.get(each) or KeeperView()
                for each in identifiers
            }

    def count_told(self):
        """Return the admitted requests that are told, in whole steps."""
        offset = int(self.phase * self.step)
        return (self.admitted + offset) // self.step * self.step

    def note_told(self, keeper, *, now):
        """Note that a keeper was told of the use."""
        view = self.keepers.get(keeper)
        if view is not None and view.asked_at is None:
            view.asked_at = now

    def note_answer(self, keeper, answer, *, now):
        """Apply a keeper's answer."""
        view = self.keepers.get(keeper)
        if view is None:
            return
        view.fraction = answer.fraction
        view.answered_at = now
        view.asked_at = None
        if answer.share is not None:
            self.share = answer.share

    def is_heard_in_time(self, keeper, *, now):
        """Return whether a keeper is not known to be silent."""
        view = self.keepers[keeper]
        return view.asked_at is None or now - view.asked_at <= SILENT_KEEPER_S

    def is_answered(self, *, now):
        """Return whether any keeper is not known to be silent."""
        return any(
            self.is_heard_in_time(each, now=now) for each in self.keepers
        )

    def is_heard(self, keeper):
        """Return whether no answer of a keeper is outstanding."""
        view = self.keepers.get(keeper)
        return view is None or view.asked_at is None

    def build_use(self, *, now):
        """Return the use of the workspace's rate at this daemon."""
        return RateUse(
            admitted=max(0, self.count_told()),
            refused=self.refused,
            demand=self.demand.measure(now=now),
            recent=round(self.recent.measure(now=now)),
            fraction=self.find_fraction(now=now),
        )

    def find_fraction(self, *, now):
        """Return the part of the requests to admit by the keepers' answers."""
        return min(
            (
                view.fraction
                for view in self.keepers.values()
                if view.answered_at is not None
                and now - view.answered_at <= ANSWER_VALID_S
            ),
            default=1.0,
        )

    def refill(self, part, *, now):
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.tokens = min(self.capacity, self.tokens + elapsed * self.rate)
        self.share_tokens = min(
            max(1.0, self.capacity * part),
            self.share_tokens + elapsed * self.rate * part,
        )

    def admit(self, *, members, now):
        """Decide whether a request is within the workspace's rate.

        Parameters
        ----------
        members : int
            Number of known daemons, this one included.
        now : float

        Returns
        -------
        bool

        Notes
        -----
        Load pattern: some requests a second of a workspace at each of many
        daemons, or all of them at one. While a keeper answers, the fraction
        that it tells is admitted, and no more than the whole limit here.
        Without a keeper the daemon admits its last known share of the rate:
        the others leave as much to it, and whoever is cut off still serves.
        """
        part = self.find_part(members)
        self.refill(part, now=now)
        self.demand.add(1, now=now)
        was_kept, self.is_kept = self.is_kept, self.is_answered(now=now)
        fraction = self.find_fraction(now=now)
        if was_kept and not self.is_kept and fraction < 1.0:
            self.share_tokens = min(0.0, self.share_tokens)
        if self.is_kept:
            is_admitted = self.tokens >= 1.0 and self.pass_fraction(fraction)
        else:
            is_admitted = self.share_tokens >= 1.0
        if is_admitted:
            self.spend(1, now=now)
        else:
            self.refused += 1
        return is_admitted

    def find_part(self, members):
        """Return the part of the rate that is admitted without a keeper."""
        equal = 1.0 / max(1, members)
        if self.share is None:
            return equal
        return max(CERTAIN_PART * self.share, MIN_PART_OF_EQUAL * equal)

    def pass_fraction(self, fraction):
        """Return whether the next request belongs to an admitted fraction."""
        if fraction >= 1.0:
            return True
        self.credit += fraction
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True

    def spend(self, count, *, now):
        """Count runs; a negative number gives credit back."""
        self.admitted += count
        self.tokens -= count
        self.share_tokens = max(-1.0, self.share_tokens - count)
        self.recent.add(count, now=now)

    def measure_passing_part(self, *, members, now):
        """Return the part of the demand that is admitted now, above 0."""
        if self.is_kept:
            fraction = self.find_fraction(now=now)
            if fraction < 1.0:
                return fraction
            rate = self.rate
        else:
            rate = self.rate * self.find_part(members)
        return min(1.0, rate / max(rate, self.demand.measure(now=now), 1e-9))
