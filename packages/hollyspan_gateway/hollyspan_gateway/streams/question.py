"""Question to other gateways for the version that began a stream."""

from twisted.internet import defer

from .notice import AMBIGUOUS_VERSION

__all__ = ["Question"]


class Question:
    """Waits for the gateways that may know a stream.

    Parameters
    ----------
    pending : set of str
        Identifiers of the gateways that have not answered yet.
    takes_first : bool
        False to wait for all of them, since they may know different streams.

    Attributes
    ----------
    versions : set of int
        The answers of those that know it.
    waiting : list of Deferred
        They fire with the Finding.
    call : IDelayedCall or None
        The next repetition, or the end of the wait.
    """

    __slots__ = ("pending", "takes_first", "versions", "waiting", "call")

    def __init__(self, *, pending, takes_first):
        self.pending = pending
        self.takes_first = takes_first
        self.versions = set()
        self.waiting = []
        self.call = None

    def wait(self):
        """Return a Deferred for the answer."""
        deferred = defer.Deferred()
        self.waiting.append(deferred)
        return deferred

    def note_answer(self, identifier, version):
        """Note an answer.

        Parameters
        ----------
        identifier : str
            Of the gateway.
        version : int
            0 if it does not know the stream.

        Returns
        -------
        bool
            True when no other answer is needed.
        """
        self.pending.discard(identifier)
        if version:
            self.versions.add(version)
            return self.takes_first or not self.pending
        return not self.pending

    def find_version(self):
        """Return the version that the answers tell, None without one."""
        if len(self.versions) > 1:
            return AMBIGUOUS_VERSION
        return next(iter(self.versions), None)

    def end(self, finding):
        """Give the finding to all that wait.

        Parameters
        ----------
        finding : Finding
        """
        if self.call is not None:
            self.call.cancel()
            self.call = None
        waiting, self.waiting = self.waiting, []
        for deferred in waiting:
            deferred.callback(finding)
