"""Question to other gateways for the version that began a stream."""

from twisted.internet import defer

__all__ = ["Question"]


class Question:
    """Waits for the first gateway that knows a stream.

    Parameters
    ----------
    pending : set of str
        Identifiers of the gateways that have not answered yet.

    Attributes
    ----------
    waiting : list of Deferred
        They fire with the version's key, or None if nobody knows it.
    call : IDelayedCall or None
        The next repetition, or the end of the wait.
    """

    __slots__ = ("pending", "waiting", "call")

    def __init__(self, *, pending):
        self.pending = pending
        self.waiting = []
        self.call = None

    def wait(self):
        """Return a Deferred for the answer."""
        deferred = defer.Deferred()
        self.waiting.append(deferred)
        return deferred

    def end(self, version):
        """Answer all that wait."""
        if self.call is not None:
            self.call.cancel()
            self.call = None
        waiting, self.waiting = self.waiting, []
        for deferred in waiting:
            deferred.callback(version)
