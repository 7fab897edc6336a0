"""Results of a job, as its reader follows them in the store."""

from twisted.internet import defer

from hollyspan_core.errors import StoreAnswerTooLargeError
from hollyspan_core.errors import StoreHistoryLostError

from .records import build_results_prefix
from .records import decode_result

__all__ = ["JobView"]


class JobView:
    """A job and its results in the order of their creation.

    Parameters
    ----------
    job : Job
        With items without their headers and bodies.
    store : Store
    reactor : twisted reactor

    Attributes
    ----------
    results : list of ItemResult
        By position, the same at every gateway, since the store's revisions
        determine the order.
    item_identifiers : frozenset of str
    held_bytes : int
        Bytes of the outputs in the results.
    last_used : float
        Time of the last read, reactor seconds.

    Notes
    -----
    `results` is always a prefix of all results: the store orders creations by
    revision, and each of its answers is complete up to a revision.
    """

    __slots__ = (
        "job",
        "store",
        "reactor",
        "results",
        "item_identifiers",
        "added",
        "revision",
        "waiters",
        "is_reading",
        "held_bytes",
        "last_used",
    )

    def __init__(self, *, job, store, reactor):
        self.job = job
        self.store = store
        self.reactor = reactor
        self.results = []
        self.item_identifiers = frozenset(
            item.identifier for item in job.items
        )
        self.added = set()
        self.revision = 0
        self.waiters = []
        self.is_reading = False
        self.held_bytes = 0
        self.last_used = reactor.seconds()

    @property
    def is_complete(self):
        """True when each item has a result."""
        return len(self.results) >= len(self.job.items)

    async def wait_for(self, position, *, seconds):
        """Wait until there is a result at a position or the time is over.

        Parameters
        ----------
        position : int
        seconds : float

        Raises
        ------
        StoreUnavailableError
            The result at the position is not known and cannot be read now.
        """
        self.last_used = self.reactor.seconds()
        if position < len(self.results) or self.is_complete:
            return
        waiter = defer.Deferred()
        self.waiters.append(waiter)
        if not self.is_reading:
            # Set first, since the read may end before the call returns.
            self.is_reading = True
            work = defer.ensureDeferred(self.read_new_results(seconds))
            work.addBoth(self.wake_waiters)
        await waiter

    def wake_waiters(self, result):
        self.is_reading = False
        waiters, self.waiters = self.waiters, []
        for deferred in waiters:
            if not deferred.called:
                deferred.callback(result)

    async def read_new_results(self, seconds):
        """Read the results created since the last read."""
        prefix = build_results_prefix(self.job.identifier)
        if self.revision:
            try:
                page = await self.store.watch(
                    prefix, after=self.revision, seconds=seconds
                )
                self.add_page(page)
                return
            except (StoreAnswerTooLargeError, StoreHistoryLostError):
                # Read all results again below.
                self.revision = 0
        self.add_page(await self.store.list(prefix))

    def add_page(self, page):
        """Add the new results of a page in the order of their creation.

        Results that one write has created are in the order of their keys.
        """
        for entry in sorted(
            page.entries, key=lambda each: (each.created_revision, each.key)
        ):
            result = decode_result(entry.key, entry.content)
            if result.identifier not in self.added and entry.revision:
                self.added.add(result.identifier)
                self.results.append(result)
                self.held_bytes += len(result.output)
        self.revision = max(self.revision, page.revision)
