"""State of all jobs in the store, as a worker follows them."""

import functools

import eliot
from twisted.internet import defer

from hollyspan_core.errors import RecordUnreadableError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_core.store import Entry
from hollyspan_policy.hashing import hash_parts

from ..clock import wait
from ..store import Mirror
from .arrivals import Arrivals
from .body_limits import choose_description_limit
from .job_room import JobRoom
from .job_room import measure_job
from .job_state import ItemState
from .job_state import JobState
from .loading import read_record
from .records import build_end_key
from .records import build_job_key
from .records import build_results_prefix
from .records import is_end_key
from .records import JOBS_PREFIX
from .records import read_job_identifier
from .records import read_result_item

__all__ = ["JobCatalogue"]

READ_RETRY_DELAY_S = 0.3
# The same for a record that cannot be decoded, doubled up to the maximum: a
# part of it may be missing in one answer only.
UNREADABLE_RETRY_DELAY_S = 1.0
MAX_UNREADABLE_RETRY_DELAY_S = 16.0
# A job that is seen for the first time at this age may have results already:
# many times the delay of a watch, and less than an item takes.
MAX_NEW_JOB_AGE_S = 1.0


class JobCatalogue:
    """Follows the jobs in the store.

    Parameters
    ----------
    gateway : Gateway
    on_change : callable
        Called without arguments when items may have become ready to start.
    on_end : callable
        Called with the JobState of a job that its client has ended.

    Attributes
    ----------
    jobs : dict
        JobState by identifier; None while the record is being read.
    unread : dict
        Time at which a job was first seen whose record was not read yet,
        reactor seconds, by identifier.
    unreadable : set of str
        Identifiers of those whose last read has failed.
    ended : set of str
        Identifiers of the jobs that their clients have ended.
    arrivals : Arrivals
        First parts of the records that are not read yet.
    room : JobRoom
        Memory that the open jobs take which have been read.
    forgotten : int
        Number of items forgotten since all of their jobs' had results.
    """

    def __init__(self, *, gateway, on_change, on_end):
        self.gateway = gateway
        self.on_change = on_change
        self.on_end = on_end
        self.jobs = {}
        self.unread = {}
        self.unreadable = set()
        self.ended = set()
        self.arrivals = Arrivals(limit=gateway.bodies.limit)
        self.room = JobRoom(
            limit=choose_description_limit(gateway.settings.memory_bytes),
            clock=gateway.reactor.seconds,
            is_ended=self.is_ended,
        )
        self.forgotten = 0
        self.is_first_update = True
        self.mirror = Mirror(
            store=gateway.store,
            reactor=gateway.reactor,
            prefix=JOBS_PREFIX,
            on_change=self.apply_entries,
            reduce=self.reduce_entry,
        )

    def start(self):
        """Start following the jobs in the store."""
        self.mirror.start()

    def stop(self):
        """Stop following the jobs."""
        self.mirror.stop()

    def list_incomplete(self):
        """Return the jobs with items that have no result, unless ended."""
        return [
            job_state
            for job_state in self.jobs.values()
            if job_state is not None
            and not job_state.is_ended
            and not job_state.is_complete()
        ]

    def count_items(self):
        """Return the number of items whose state is kept."""
        return sum(
            len(job_state.items)
            for job_state in self.jobs.values()
            if job_state is not None
        )

    def list_unreleased(self):
        """Return ended jobs whose waiting tokens may not be released yet.

        Returns
        -------
        list of (JobState, int)
            With the revision at which the job was ended.
        """
        return [
            (job_state, entry.created_revision)
            for identifier in self.ended
            if (job_state := self.jobs.get(identifier)) is not None
            and job_state.job.reservation is not None
            and not job_state.is_released
            and (entry := self.mirror.entries.get(build_end_key(identifier)))
        ]

    def reduce_entry(self, entry):
        """Return what the mirror keeps of an entry."""
        if is_end_key(entry.key):
            return entry
        identifier = read_job_identifier(entry.key)
        if self.jobs.get(identifier) is None:
            self.arrivals.add(identifier, entry.content)
        return Entry(
            key=entry.key,
            # The number of parts, which are removed with the job.
            content=entry.content[:1],
            token=entry.token,
            revision=entry.revision,
            lease=entry.lease,
            created_revision=entry.created_revision,
        )

    def apply_entries(self, mirror):
        """Add new jobs, mark ended ones and drop those no longer stored."""
        is_first, self.is_first_update = self.is_first_update, False
        for key, entry in mirror.entries.items():
            identifier = read_job_identifier(key)
            if is_end_key(key):
                self.mark_ended(identifier)
            elif identifier not in self.jobs:
                # A placeholder, so that the record is read only once.
                self.jobs[identifier] = None
                self.unread[identifier] = self.gateway.reactor.seconds()
                self.room.add(
                    identifier,
                    revision=entry.revision,
                    start=functools.partial(
                        self.start_loading,
                        identifier,
                        has_read_results=not is_first,
                    ),
                )
        for identifier in list(self.jobs):
            if build_job_key(identifier) not in mirror.entries:
                job_state = self.jobs.pop(identifier)
                if job_state is not None:
                    self.gateway.bodies.discard(identifier, job_state.items)
                self.unread.pop(identifier, None)
                self.unreadable.discard(identifier)
                self.ended.discard(identifier)
                self.room.free(identifier)
        self.arrivals.drop_all_but(self.unread)
        self.room.start_next()

    def is_ended(self, identifier):
        """Return whether the client of a job has ended it."""
        return build_end_key(identifier) in self.mirror.entries

    def start_loading(self, identifier, *, has_read_results):
        """Start reading a job that has its turn."""
        entry = self.mirror.entries.get(build_job_key(identifier))
        defer.ensureDeferred(
            self.load_job_state(
                identifier, entry, has_read_results=has_read_results
            )
        ).addErrback(eliot.write_failure)

    async def wait_for_turn(self, identifier, entry):
        """Wait until a job that could not be read has its turn again."""
        turn = defer.Deferred()
        self.room.add(
            identifier,
            revision=entry.revision,
            start=lambda: turn.callback(None),
        )
        self.room.start_next()
        await turn

    async def read_job(self, identifier, entry):
        """Read a record, again and again until it can be read.

        Returns
        -------
        (Job, list) or None
            The job without bodies, and the parts of each item's prompt that
            other requests may share; None when it is no longer stored.
        """
        reactor = self.gateway.reactor
        unreadable_delay = UNREADABLE_RETRY_DELAY_S
        while entry is not None:
            try:
                job = await self.gateway.bodies.read_bounded(
                    lambda: self.read_once(identifier)
                )
            except StoreUnavailableError as error:
                reason, delay = error.message, READ_RETRY_DELAY_S
            except RecordUnreadableError as error:
                reason, delay = error.message, unreadable_delay
                unreadable_delay = min(
                    MAX_UNREADABLE_RETRY_DELAY_S, unreadable_delay * 2
                )
            else:
                return job
            self.unreadable.add(identifier)
            eliot.log_message("job:unreadable", job=identifier, reason=reason)
            self.room.finish(identifier)
            await wait(reactor, delay)
            if entry.key in self.mirror.entries:
                await self.wait_for_turn(identifier, entry)
            entry = self.mirror.entries.get(entry.key)
        return None

    async def read_once(self, identifier):
        """Read a record, whose first part may have come with the watch."""
        store = self.gateway.store
        first = self.arrivals.take(identifier)
        if first is None:
            entry = await store.get(build_job_key(identifier))
            first = b"" if entry is None else entry.content
        job = await read_record(store, identifier, first)
        self.gateway.bodies.keep(job)
        return job.copy_without_bodies(), [
            self.gateway.dialect.decode_item_parts(item) for item in job.items
        ]

    async def load_job_state(self, identifier, entry, *, has_read_results):
        """Read a job that has its turn and keep its state."""
        try:
            await self.load_in_turn(
                identifier, entry, has_read_results=has_read_results
            )
        finally:
            self.room.finish(identifier)

    async def load_in_turn(self, identifier, entry, *, has_read_results):
        found = await self.read_job(identifier, entry)
        if found is None or self.jobs.get(identifier, found) is not None:
            # Removed meanwhile, and perhaps read by a later call.
            return
        job, parts = found
        self.room.hold(identifier, measure_job(job.items, parts=parts))
        if identifier in self.unreadable:
            has_read_results = False
            self.unreadable.discard(identifier)
        del self.unread[identifier]
        age = self.gateway.wall_clock() - job.submitted
        if age > MAX_NEW_JOB_AGE_S:
            has_read_results = False
        job_state = JobState(
            job=job,
            revision=entry.revision,
            has_read_results=has_read_results,
            seen_at=self.gateway.reactor.seconds(),
        )
        for item, shared_parts in zip(job.items, parts):
            key = hash_parts(identifier, item.identifier)
            job_state.items[item.identifier] = ItemState(
                job_state=job_state,
                item=item,
                key=key,
                shared_parts=shared_parts,
            )
        self.jobs[identifier] = job_state
        eliot.log_message(
            "job:seen",
            job=identifier,
            items=len(job.items),
            age=age,
        )
        if self.is_ended(identifier):
            self.mark_ended(identifier)
        self.on_change()

    def mark_ended(self, identifier):
        """Mark a job as ended by its client."""
        job_state = self.jobs.get(identifier)
        if job_state is None or job_state.is_ended:
            return
        job_state.is_ended = True
        self.ended.add(identifier)
        self.gateway.bodies.discard(identifier, job_state.items)
        eliot.log_message("job:stopped", job=identifier)
        self.on_end(job_state)
        # Nobody asks for its items, and runs have their own.
        job_state.items = {}
        if job_state.job.reservation is None:
            job_state.job.drop_items()
        self.room.free(identifier)

    def forget_complete(self):
        """Forget the items of all complete jobs."""
        for job_state in self.jobs.values():
            if job_state is not None and job_state.is_complete():
                self.forget_items(job_state)

    def forget_items(self, job_state):
        """Forget the items of a complete job, but for runs in progress."""
        if not job_state.items or any(
            item_state.run is not None
            for item_state in job_state.items.values()
        ):
            return
        identifier = job_state.job.identifier
        self.gateway.bodies.discard(identifier, job_state.items)
        job_state.forget_items()
        self.forgotten += len(job_state.forgotten_keys)
        self.room.free(identifier)

    def reread_results(self):
        """Mark results as unread, since items may have changed owners."""
        for job_state in self.jobs.values():
            if job_state is not None:
                job_state.has_read_results = False
        self.on_change()

    async def read_results(self, job_state):
        """Read from the store which items of a job have a result."""
        job_state.is_reading_results = True
        try:
            prefix = build_results_prefix(job_state.job.identifier)
            page = await self.gateway.store.list(prefix)
        except StoreUnavailableError as error:
            eliot.log_message(
                "job:results_unreadable",
                job=job_state.job.identifier,
                reason=error.message,
            )
            await wait(self.gateway.reactor, READ_RETRY_DELAY_S)
            return
        finally:
            job_state.is_reading_results = False
        for entry in page.entries:
            item_state = job_state.items.get(read_result_item(entry.key))
            if item_state is not None:
                item_state.has_result = True
        job_state.has_read_results = True
        self.on_change()

    def start_reading_results(self, job_state):
        """Start reading the results of a job unless a read is in progress."""
        if not job_state.is_reading_results:
            defer.ensureDeferred(self.read_results(job_state)).addErrback(
                eliot.write_failure
            )
