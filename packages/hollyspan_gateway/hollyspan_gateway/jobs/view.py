"""Results of a job, as its reader follows them in the store."""

import itertools

from twisted.internet import defer

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StoreAnswerTooLargeError
from hollyspan_core.errors import StoreHistoryLostError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_core.store import Entry

from .records import build_result_key
from .records import build_results_prefix
from .records import cut_output
from .records import decode_result

__all__ = ["JobView"]

# Time for which a read without a wait waits for a watch of another read: three
# quarters of the time that a peer leaves for the answer.
JOIN_S = 0.45
# Time to come back for the client of a result that is not found again.
RETRY_AFTER_S = 0.5
# Objects of a job that is read, of an item and of a result, beside texts and
# outputs.
VIEW_OVERHEAD_BYTES = 1_200
ITEM_OVERHEAD_BYTES = 110
RESULT_OVERHEAD_BYTES = 150


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
    is_watching : bool
        True while a watch is open.
    item_identifiers : frozenset of str
    held_bytes : int
        Bytes of the outputs in the results.
    described_bytes : int
        Bytes of all else.
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
        "is_watching",
        "limit",
        "position",
        "held_bytes",
        "described_bytes",
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
        self.described_bytes = VIEW_OVERHEAD_BYTES + sum(
            ITEM_OVERHEAD_BYTES + len(identifier)
            for identifier in self.item_identifiers
        )
        # Nothing but their identifiers is asked for.
        job.drop_items()
        self.limit = limit
        self.position = 0
        self.added = set()
        self.revision = 0
        self.waiters = []
        self.is_reading = False
        self.is_watching = False
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

        Notes
        -----
        Load pattern: several clients read one job, some without a wait. An
        open watch proves nothing before it ends, so one that does not wait
        asks the store beside it, unless it ends in a moment.
        """
        self.last_used = self.reactor.seconds()
        self.position = position
        if position < len(self.results) or self.is_complete:
            return
        if seconds <= 0.0 and self.is_watching:
            if await self.join_watch():
                return
            try:
                self.add_page(await self.watch(0.0))
                return
            except (StoreAnswerTooLargeError, StoreHistoryLostError):
                # The open watch meets the same, and reads all results.
                pass
        waiter = defer.Deferred()
        self.waiters.append(waiter)
        if not self.is_reading:
            # Set first, since the read may end before the call returns.
            self.is_reading = True
            work = defer.ensureDeferred(self.read_new_results(seconds))
            work.addBoth(self.wake_waiters)
        await waiter

    async def join_watch(self):
        """Wait a moment for the end of the open watch.

        Returns
        -------
        bool
            False if it goes on.
        """
        waiter = defer.Deferred()
        self.waiters.append(waiter)
        timer = self.reactor.callLater(JOIN_S, waiter.callback, False)
        try:
            return await waiter is not False
        finally:
            if timer.active():
                timer.cancel()

    def wake_waiters(self, result):
        self.is_reading = self.is_watching = False
        waiters, self.waiters = self.waiters, []
        for deferred in waiters:
            if not deferred.called:
                deferred.callback(result)

    async def read_new_results(self, seconds):
        """Read the results created since the last read."""
        if self.revision:
            self.is_watching = seconds > 0.0
            try:
                self.add_page(await self.watch(seconds))
                return
            except (StoreAnswerTooLargeError, StoreHistoryLostError):
                # Read all results again below.
                self.revision = 0
                self.is_watching = False
        await self.read_all_results()

    def watch(self, seconds):
        """Wait for results after those that are known."""
        return self.store.watch(
            build_results_prefix(self.job.identifier),
            after=self.revision,
            seconds=seconds,
        )

    async def read_all_results(self):
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

        prefix = build_results_prefix(self.job.identifier)
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
                self.described_bytes += RESULT_OVERHEAD_BYTES + len(
                    result.identifier
                )
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
            # It was there; the job has been removed since, or the answer is
            # older than the result.
            raise StoreUnavailableError(
                "the result is not there any more",
                outcome=Outcome.NOT_RUN,
                retry_after=RETRY_AFTER_S,
            )
        return decode_result(key, entry.content)
