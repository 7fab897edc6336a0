"""Upstreams at which a stalled request is likely to go on sooner."""

from hollyspan_policy.retries import RetryBudget
from hollyspan_policy.speeds import helps_to_move

from .free_slots import is_free

__all__ = ["Alternatives"]

# Moves away from slow upstreams for each request sent. Each gateway keeps to
# it, so that the fleet as a whole does, too.
MOVES_PER_REQUEST = 0.05
# Time without an event that no slow machine explains.
UNEXPLAINED_SILENCE_S = 1.0


class Alternatives:
    """Finds out whether a request may leave a silent upstream.

    Parameters
    ----------
    placement : Placement

    Attributes
    ----------
    budget : RetryBudget
        Moves away from upstreams that are only slow.
    refused_moves : int
        Number of moves that would not have helped or were over the budget.
    """

    __slots__ = ("placement", "budget", "refused_moves")

    def __init__(self, *, placement):
        self.placement = placement
        self.budget = RetryBudget(ratio=MOVES_PER_REQUEST)
        self.refused_moves = 0

    def has_free(self, upstream, *, excluded, version=None, silence=0.0):
        """Return whether another upstream is likely to answer sooner.

        Parameters
        ----------
        upstream : Upstream
            Silent upstream at which a request waits.
        excluded : collection of str
            Names of the upstreams that the request was sent to.
        version : int, optional
            Key of the software version at which it has to go on.
        silence : float, optional
            Time for which it has brought no event, seconds.

        Returns
        -------
        bool
            True when another upstream has just reported a free slot. While
            all are full, the request stays, since its place in the queue is
            better than a new one. It stays as well at an upstream that
            answers others, only slowly, unless another one is faster; true
            then spends a move of the budget.
        """
        now = self.placement.reactor.seconds()
        speeds = self.placement.speeds
        free = [
            other
            for other in self.list_free(upstream.entry.service)
            if other.entry.name not in excluded
            and (
                version is None
                or version == self.placement.find_version(other)
            )
        ]
        if not free or not self.is_only_slow(
            upstream, silence=silence, now=now
        ):
            return bool(free)
        slowness = speeds.estimate(upstream, now=now)
        helps = any(
            helps_to_move(
                slowness, other_slowness=speeds.estimate(other, now=now)
            )
            for other in free
        )
        is_allowed = helps and self.budget.withdraw()
        self.refused_moves += not is_allowed
        return is_allowed

    def is_only_slow(self, upstream, *, silence, now):
        """Return whether its speed explains the silence of an upstream.

        A request in its queue may move to any free slot.
        """
        in_flight = upstream.count_online() + upstream.count_batch()
        return (
            self.placement.speeds.is_used(upstream)
            and upstream.has_recent_report(now=now)
            and silence < UNEXPLAINED_SILENCE_S
            and not upstream.waiting
            and in_flight + upstream.hidden <= upstream.entry.slots
        )

    def list_free(self, service):
        """Return the upstreams that have just reported a free slot."""
        return [
            other
            for other in self.placement.directory.list_usable(service)
            if is_free(self.placement, other)
        ]
