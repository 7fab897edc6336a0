"""Requests and calls that have no final answer yet."""

from twisted.internet import defer

from hollyspan_core.errors import DrainingError

__all__ = ["DRAINING_RETRY_AFTER_S", "WorkInFlight"]

# Retry-after time sent by a gateway that stops: the client's next connection
# reaches another gateway.
DRAINING_RETRY_AFTER_S = 0.1


class WorkInFlight:
    """Work for clients and peers that the end of the process would cut off.

    Attributes
    ----------
    running : set of Deferred
    """

    __slots__ = ("running", "ended")

    def __init__(self):
        self.running = set()
        self.ended = set()

    async def run(self, coroutine, *, find_outcome):
        """Run a coroutine; fail it if the process ends before.

        Parameters
        ----------
        coroutine : coroutine or Deferred
        find_outcome : callable
            Returns the Outcome of work that is ended.

        Returns
        -------
        object
            Result of the coroutine.

        Raises
        ------
        DrainingError
            The process ends.
        """
        work = defer.ensureDeferred(coroutine)
        self.running.add(work)
        try:
            return await work
        except defer.CancelledError as error:
            if work not in self.ended:
                raise
            raise DrainingError(
                "the gateway has shut down",
                outcome=find_outcome(),
                retry_after=DRAINING_RETRY_AFTER_S,
            ) from error
        finally:
            self.running.discard(work)
            self.ended.discard(work)

    def end_all(self):
        """End all work, which answers its clients."""
        for work in list(self.running):
            self.ended.add(work)
            work.cancel()
