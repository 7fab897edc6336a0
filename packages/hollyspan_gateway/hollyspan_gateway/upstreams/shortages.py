"""Shortages of slots for online requests at upstreams with items."""

from hollyspan_policy.batch import choose_preemption_grace

__all__ = ["Shortages"]


class Shortages:
    """Delays preemptions, since most shortages end by themselves.

    Parameters
    ----------
    reactor : twisted reactor
    speeds : Speeds
    on_end : callable
        Called with an Upstream at which a shortage has lasted.

    Attributes
    ----------
    calls : dict
        Delayed call at the end of the grace, by Upstream; None once it has
        come.
    avoided : int
        Number of shortages that ended without a preemption.
    """

    __slots__ = ("reactor", "speeds", "on_end", "calls", "avoided")

    def __init__(self, *, reactor, speeds, on_end):
        self.reactor = reactor
        self.speeds = speeds
        self.on_end = on_end
        self.calls = {}
        self.avoided = 0

    def must_preempt(self, upstream, excess):
        """Return whether items are to be preempted now.

        Parameters
        ----------
        upstream : Upstream
        excess : int
            Number of items of this gateway that are one too many there.
        """
        if excess <= 0:
            if upstream in self.calls:
                call = self.calls.pop(upstream)
                if call is not None:
                    call.cancel()
                    self.avoided += 1
            return False
        if not self.speeds.is_used(upstream):
            return True
        if upstream not in self.calls:
            slowness = self.speeds.estimate(
                upstream, now=self.reactor.seconds()
            )
            self.calls[upstream] = self.reactor.callLater(
                choose_preemption_grace(slowness), self.end_grace, upstream
            )
        return self.calls[upstream] is None

    def end_grace(self, upstream):
        """Let items at an upstream be preempted, if slots are short still."""
        self.calls[upstream] = None
        self.on_end(upstream)
        if self.calls.get(upstream, self) is None:
            del self.calls[upstream]

    def stop(self):
        """Cancel the delayed calls."""
        for call in self.calls.values():
            if call is not None:
                call.cancel()
        self.calls.clear()
