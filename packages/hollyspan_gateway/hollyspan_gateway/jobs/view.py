"""Results of a job, as its reader follows them in the store."""

import itertools

from twisted.internet import defer

from hollyspan_core.errors import BatchNotFoundError
from hollyspan_core.errors import StoreAnswerTooLargeError
from hollyspan_core.errors import StoreHistoryLostError
from hollyspan_core.store import Entry

from .records import build_result_key
from .records import build_results_prefix
from .records import cut_output
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
    limit : int
        Bytes of outputs that are held; others are read when they are asked
        for.

    Attributes
    ----------
    results : list of ItemResult
        By position, the same at every gateway, since the store's revisions
        determine the order. The output of one that is not held is None.
    position : int
        That of the last read.
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
        "limit",
        "position",
        "held_bytes",
        "last_used",
    )

    def __init__(self, *, job, store, reactor, limit):
        self.job = job
        self.store = store
        self.reactor = reactor
        self.results = []
        self.item_identifiers = frozenset(
            item.identifier for item in job.items
        )
        # Nothing but their identifiers is asked for.
        job.drop_items()
        self.limit = limit
        self.position = 0
        self.added = set()
        self.revision = 0
        self.waiters = []
        self.is_reading = False
        self.held_bytes = 0
        self.last_used = reactor.seconds()

    @property
    def is_complete(self):
        """True when each item has a result."""
        return len(self.results) >= self.job.item_count

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
        self.position = position
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
        await self.read_all_results(prefix)

    async def read_all_results(self, prefix):
        """Read all results, but no more outputs than are held."""
        kept, cut = 0, set()

        def reduce(entry):
            nonlocal kept
            kept += len(entry.content)
            if kept <= self.limit:
                return entry
            kept -= len(entry.content)
            cut.add(entry.key)
            return Entry(
                key=entry.key,
                content=cut_output(entry.content),
                token=entry.token,
                revision=entry.revision,
                lease=entry.lease,
                created_revision=entry.created_revision,
            )

        page = await self.store.list(prefix, reduce=reduce)
        self.add_page(page, without_output=cut)

    def add_page(self, page, *, without_output=frozenset()):
        """Add the new results of a page in the order of their creation.

        Results that one write has created are in the order of their keys.

        Parameters
        ----------
        page : Page
        without_output : set of str, optional
            Keys whose outputs are not in it.
        """
        for entry in sorted(
            page.entries, key=lambda each: (each.created_revision, each.key)
        ):
            result = decode_result(entry.key, entry.content)
            if result.identifier not in self.added and entry.revision:
                self.added.add(result.identifier)
                self.results.append(result)
                if entry.key in without_output:
                    result.output = None
                else:
                    self.held_bytes += len(result.output)
        self.revision = max(self.revision, page.revision)
        self.drop_excess()

    def drop_excess(self):
        """Drop outputs beyond the limit, those that are read last first.

        A client has read those before its position.
        """
        if self.held_bytes <= self.limit:
            return
        for index in itertools.chain(
            range(min(self.position, len(self.results))),
            range(len(self.results) - 1, self.position, -1),
        ):
            result = self.results[index]
            if result.output is not None:
                self.held_bytes -= len(result.output)
                result.output = None
                if self.held_bytes <= self.limit:
                    return

    async def read_page(self, position, *, max_bytes):
        """Return the results from a position on, with their outputs.

        Parameters
        ----------
        position : int
        max_bytes : int
            Outputs behind which no more results are read.

        Returns
        -------
        list of ItemResult

        Raises
        ------
        BatchNotFoundError
            The job has been removed.
        RecordUnreadableError
        StoreUnavailableError
        """
        page = []
        size = 0
        for result in self.results[position:]:
            if size > max_bytes:
                break
            if result.output is None:
                result = await self.read_result(result.identifier)
            page.append(result)
            size += len(result.output)
        return page

    async def read_result(self, identifier):
        """Read a result whose output is not held."""
        key = build_result_key(self.job.identifier, identifier)
        entry = await self.store.get(key)
        if entry is None:
            raise BatchNotFoundError("the job has been removed")
        return decode_result(key, entry.content)
