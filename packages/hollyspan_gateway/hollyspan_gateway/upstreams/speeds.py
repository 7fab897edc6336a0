"""Speeds of upstreams, as told and as measured from answers."""

import eliot

from hollyspan_policy.speeds import EventPaces
from hollyspan_policy.speeds import MIN_PACE_EVENTS

__all__ = ["Speeds"]

# An upstream at which work takes longer than this counts as slow in logs and
# metrics, and as usual again below the second bound.
SLOW_SLOWNESS = 1.75
USUAL_SLOWNESS = 1.25
# Time between two log lines on upstreams that turn slow.
LOG_INTERVAL_S = 5.0


class Speeds:
    """Records how long work takes at the upstreams.

    Parameters
    ----------
    reactor : twisted reactor
    directory : Directory
    measures_all : bool
        Whether speeds are measured also at upstreams that do not tell how
        long work takes there. Without it these count as equally fast.

    Attributes
    ----------
    paces : EventPaces
        Usual times between events, by route.
    turns : int
        Number of times that an upstream turned slow.
    next_log_at : float
        Time from which on the next one of these is logged.
    """

    __slots__ = (
        "reactor",
        "directory",
        "measures_all",
        "paces",
        "turns",
        "next_log_at",
    )

    def __init__(self, *, reactor, directory, measures_all):
        self.reactor = reactor
        self.directory = directory
        self.measures_all = measures_all
        self.paces = EventPaces()
        self.turns = 0
        self.next_log_at = 0.0

    def is_used(self, upstream):
        """Return whether an upstream's speed has a part in decisions."""
        return self.measures_all or upstream.speed.is_told

    def estimate(self, upstream, *, now):
        """Return how long work takes at an upstream, 1.0 as usual."""
        if not self.is_used(upstream):
            return 1.0
        return upstream.speed.estimate(now=now)

    def note_told(self, upstream, slowness):
        """Record a figure that an upstream has told, here or to a peer."""
        if slowness is None:
            return
        now = self.reactor.seconds()
        upstream.speed.note_told(slowness, now=now)
        self.note_turn(upstream, now=now)

    def note_run(self, upstream, *, kind, seconds, events):
        """Record a sound run from this gateway, to be sent to peers, too.

        Parameters
        ----------
        upstream : Upstream
        kind : str
            Name of the route; runs of one kind are compared.
        seconds : float
            Time from the first event to the last one.
        events : int
            Number of events after the first one.
        """
        if events < MIN_PACE_EVENTS or not self.is_used(upstream):
            return
        measured = self.paces.compare(kind, seconds / events)
        if measured is not None:
            self.note_measured(upstream, measured)
            upstream.unsent_run_slowness = measured

    def note_measured(self, upstream, slowness):
        """Record how long a run took, here or at a peer."""
        if slowness is not None and self.is_used(upstream):
            upstream.speed.note_measured(slowness)

    def note_turn(self, upstream, *, now):
        """Note when an upstream turns slow, or usual again."""
        slowness = upstream.speed.estimate(now=now)
        if upstream.is_slow:
            upstream.is_slow = slowness > USUAL_SLOWNESS
            return
        if slowness < SLOW_SLOWNESS:
            return
        upstream.is_slow = True
        self.turns += 1
        if now >= self.next_log_at:
            self.next_log_at = now + LOG_INTERVAL_S
            eliot.log_message(
                "upstream:slow",
                upstream=upstream.entry.name,
                slowness=round(slowness, 2),
                usual=round(upstream.speed.usual, 2),
                measured=round(upstream.speed.measured, 2),
                turns=self.turns,
            )

    def count_slow(self):
        """Return the number of upstreams that are slow now."""
        now = self.reactor.seconds()
        return sum(
            upstream.is_slow
            and upstream.speed.estimate(now=now) > USUAL_SLOWNESS
            for upstream in self.directory.upstreams.values()
        )
