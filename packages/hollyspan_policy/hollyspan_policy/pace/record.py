"""Pace of one upstream."""

import math

from .start import START_SPAN_S
from .step import choose_pace
from .step import MIN_PACE
from .typical import TypicalTimes

__all__ = ["PaceRecord"]


class PaceRecord:
    """Requests that may be in flight at an upstream, and what shows it.

    Attributes
    ----------
    is_pending : bool
        True from its start or recovery until it is decided whether it gets a
        pace.
    allowed : int or None
        Requests in flight from all gateways together; None without a pace.
    changed_at : float
        Time of the answer, here or at a peer, that this comes from, seconds.
    floor_at : float
        Time before which answers do not count, since the upstream has failed
        or started since.
    begun_at, ended_at : float
        Times at which the last pace began and ended.
    best : float or None
        Shortest time to a first event since the pace began, seconds.
    settled_at : float
        Time at which it was first decided whether it gets a pace.
    own : dict
        TypicalTimes without a pace, by kind of request.
    """

    __slots__ = (
        "is_pending",
        "allowed",
        "changed_at",
        "floor_at",
        "begun_at",
        "ended_at",
        "best",
        "settled_at",
        "own",
    )

    def __init__(self):
        self.is_pending = True
        self.allowed = None
        self.changed_at = -math.inf
        self.floor_at = -math.inf
        self.begun_at = -math.inf
        self.ended_at = -math.inf
        self.best = None
        self.settled_at = math.inf
        self.own = {}

    def find_own(self, kind):
        """Return the TypicalTimes of the upstream itself."""
        if kind not in self.own:
            self.own[kind] = TypicalTimes()
        return self.own[kind]

    def interrupt(self, *, now):
        """Note that the upstream has failed, was emptied or set aside."""
        self.is_pending = True
        self.floor_at = now

    def settle(self, *, now):
        """Note that it is decided whether the upstream gets a pace."""
        self.is_pending = False
        self.settled_at = min(self.settled_at, now)

    def begin(self, *, now):
        """Begin a pace; answers to other gateways still count."""
        self.begun_at = now
        self.is_pending = False
        self.allowed = MIN_PACE
        self.changed_at = -math.inf
        self.best = None

    def begin_for_all(self, *, now):
        """Begin a pace for what answers have shown, to tell peers."""
        self.begin(now=now)
        self.floor_at = self.changed_at = now

    def end(self, *, at):
        """End the pace, or note that there is none."""
        self.is_pending = False
        self.allowed = None
        self.changed_at = max(self.changed_at, at)
        self.ended_at = at

    def note_answer(self, answer, *, step=choose_pace):
        """Change the pace after an answer.

        Parameters
        ----------
        answer : PaceAnswer
        step : callable, optional
            See `choose_pace`.

        Returns
        -------
        bool
            Whether the pace has changed. An answer to a request that was sent
            before the last change says nothing of what holds since. A pace
            that allows all that the upstream can run ends.
        """
        if self.allowed is None:
            return False
        if answer.started_at < max(self.changed_at, self.floor_at):
            return False
        if answer.first_event is not None:
            self.best = min(self.best or math.inf, answer.first_event)
        allowed = max(MIN_PACE, step(self, answer))
        if allowed == self.allowed:
            return False
        if allowed >= answer.slots:
            self.end(at=answer.at)
        else:
            self.allowed = allowed
            self.changed_at = answer.at
        return True

    def is_unknown(self, *, now):
        """Return whether this daemon has just found the upstream itself.

        It cannot tell then whether the upstream is as new as it seems.
        """
        return (
            self.allowed is None
            and self.changed_at == self.floor_at == -math.inf
            and now < self.settled_at + START_SPAN_S
        )

    def apply(self, allowed, *, at, now):
        """Apply what a peer has seen, unless something newer is known.

        Parameters
        ----------
        allowed : int or None
            None when the pace has ended there.
        at : float
            Time of the answer that shows it, seconds; -infinite for a pace
            that has begun and of which no answer has shown anything yet.
        now : float

        Returns
        -------
        bool
            Whether the pace has changed.
        """
        if at <= max(self.changed_at, self.floor_at) and not self.is_unknown(
            now=now
        ):
            return False
        was = self.allowed
        if allowed is None:
            self.end(at=at)
        else:
            self.is_pending = False
            self.allowed = allowed
            self.changed_at = at
        return self.allowed != was
