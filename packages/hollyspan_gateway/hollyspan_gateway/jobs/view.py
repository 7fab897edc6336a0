"""A job's results as a reader's daemon knows them."""

from twisted.internet import defer

from hollyspan_core.errors import StoreHistoryLostError

from .records import build_results_prefix
from .records import decode_result

__all__ = ["JobView"]


class JobView:
    """A job with its results in the order of their creation.

    Parameters
    ----------
    job : Job
    store : Store
    reactor : twisted reactor

    Attributes
    ----------
    results : list of ItemResult
        By position. The store's revisions order them alike at each daemon.
    bodies : dict
        Item by identifier.
    used : float
        Time of the last read.

    Notes
    -----
    The results that are known are always a prefix of all: the store orders
    creations by its revision, and each answer is complete up to one.
    """

    __slots__ = (
        "job",
        "store",
        "reactor",
        "results",
        "bodies",
        "listed",
        "revision",
        "waiting",
        "is_reading",
        "used",
    )

    def __init__(self, *, job, store, reactor):
        self.job = job
        self.store = store
        self.reactor = reactor
        self.results = []
        self.bodies = {item.identifier: item for item in job.items}
        self.listed = set()
        self.revision = 0
        self.waiting = []
        self.is_reading = False
        self.used = reactor.seconds()

    @property
    def is_complete(self):
        """True when each item has a result."""
        return len(self.results) >= len(self.job.items)

    async def wait_for(self, position, *, seconds):
        """Wait until a result stands at a position or the time is over.

        Parameters
        ----------
        position : int
        seconds : float

        Raises
        ------
        StoreUnavailableError
            What stands there cannot be known now.
        """
        self.used = self.reactor.seconds()
        if position < len(self.results) or self.is_complete:
            return
        waiting = defer.Deferred()
        self.waiting.append(waiting)
        if not self.is_reading:
            # Set first, since the answer may come before the call returns.
            self.is_reading = True
            work = defer.ensureDeferred(self.read_news(seconds))
            work.addBoth(self.tell_waiting)
        await waiting

    def tell_waiting(self, result):
        self.is_reading = False
        waiting, self.waiting = self.waiting, []
        for deferred in waiting:
            if not deferred.called:
                deferred.callback(result)

    async def read_news(self, seconds):
        """Read the results that were created since the last time."""
        prefix = build_results_prefix(self.job.identifier)
        if self.revision:
            try:
                page = await self.store.watch(
                    prefix, after=self.revision, seconds=seconds
                )
                self.take(page)
                return
            except StoreHistoryLostError:
                # Fall through to a whole read.
                self.revision = 0
        self.take(await self.store.list(prefix))

    def take(self, page):
        """Take in entries in the order of their creation."""
        for entry in sorted(page.entries, key=lambda each: each.created):
            result = decode_result(entry.key, entry.content)
            if result.identifier not in self.listed and entry.revision:
                self.listed.add(result.identifier)
                self.results.append(result)
        self.revision = max(self.revision, page.revision)
