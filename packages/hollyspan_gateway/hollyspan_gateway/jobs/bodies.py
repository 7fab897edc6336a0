"""Bodies of items, read from the store when they are asked for."""

import eliot
from twisted.internet import defer

from hollyspan_core.errors import RecordUnreadableError

from .body_cache import BodyCache
from .loading import load_job

__all__ = ["JobBodies"]

# Records that are read and decoded at the same time.
MAX_RECORD_READS = 2


class JobBodies:
    """Reads bodies of items and keeps those that were used last.

    Parameters
    ----------
    store : Store
    limit : int
        Bytes that runs may use.
    kept_limit : int
        Bytes that are kept beside them.

    Attributes
    ----------
    cache : BodyCache
    waiters : dict
        List of the Deferreds that wait for a record, by its job's identifier.
    in_use_bytes : int
        Bytes of the bodies that runs use.
    reads : int
        Number of records read for a body that was not kept.
    """

    __slots__ = (
        "store",
        "limit",
        "cache",
        "waiters",
        "places",
        "in_use_bytes",
        "reads",
    )

    def __init__(self, *, store, limit, kept_limit):
        self.store = store
        self.limit = limit
        self.cache = BodyCache(limit=kept_limit)
        self.waiters = {}
        self.places = defer.DeferredSemaphore(MAX_RECORD_READS)
        self.in_use_bytes = 0
        self.reads = 0

    async def read_bounded(self, read):
        """Call a coroutine function that reads a record, a few at a time."""
        await self.places.acquire()
        try:
            return await read()
        finally:
            self.places.release()

    def keep(self, job):
        """Keep the bodies of a job that has been read."""
        # Those that are started first stay longest.
        for item in reversed(job.items):
            self.cache.add(job.identifier, item)

    def discard(self, job, items):
        """Drop the bodies of some items, given by their identifiers."""
        for item in items:
            self.cache.discard(job, item)

    def has_room(self, size):
        """Return whether a run may use a body of some bytes now."""
        return not self.in_use_bytes or self.in_use_bytes + size <= self.limit

    def is_kept(self, job, identifier):
        """Return whether an item with its body is kept."""
        return (job, identifier) in self.cache.items

    def find(self, job, identifier):
        """Return an item with its body if it is kept, None otherwise."""
        return self.cache.find(job, identifier)

    async def read(self, job, identifier):
        """Return an item with its headers and its body.

        Parameters
        ----------
        job : str
            Identifier of its job.
        identifier : str

        Returns
        -------
        Item

        Raises
        ------
        RecordUnreadableError
        StoreUnavailableError
        """
        item = self.cache.find(job, identifier)
        if item is not None:
            return item
        record = await self.wait_for_record(job)
        for item in record.items if record is not None else ():
            if item.identifier == identifier:
                # As the one used last.
                self.cache.add(job, item)
                return item
        raise RecordUnreadableError(
            f"the record of job {job} has no item {identifier}"
        )

    async def read_job(self, job):
        """Return a job without bodies, which are kept; None without one.

        Raises
        ------
        RecordUnreadableError
        StoreUnavailableError
        """
        record = await self.wait_for_record(job)
        return None if record is None else record.copy_without_bodies()

    def wait_for_record(self, job):
        """Return a Deferred that fires with a job, read once for all."""
        waiter = defer.Deferred()
        if job in self.waiters:
            self.waiters[job].append(waiter)
            return waiter
        self.waiters[job] = [waiter]
        self.reads += 1
        work = defer.ensureDeferred(self.read_record(job))
        work.addBoth(self.wake_waiters, job).addErrback(eliot.write_failure)
        return waiter

    async def read_record(self, job):
        record = await self.read_bounded(lambda: load_job(self.store, job))
        if record is not None:
            self.keep(record)
        return record

    def wake_waiters(self, result, job):
        for waiter in self.waiters.pop(job):
            # One that is cancelled has been called.
            if not waiter.called:
                waiter.callback(result)
