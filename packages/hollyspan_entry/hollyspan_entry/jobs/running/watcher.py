"""Watcher of the queue of unfinished jobs."""

import time

import eliot
from twisted.internet import defer

from hollyspan_core.errors import BatchNotFoundError
from hollyspan_core.errors import HollyspanError

from ..state import build_queue_key
from ..state import decode_queue_entry
from ..state import JobStatus
from ..state import KnownJob
from ..state import read_record
from ..state import remove_from_queue
from .claim import delete_claim
from .claim import list_claims
from .closing import finish_cancelled_job

__all__ = ["QueueWatcher"]

QUEUE_PREFIX = build_queue_key("")
MAX_RECORD_AGE_S = 20.0
# Polls per `watch_refresh` interval, because a watch may stop reporting.
POLLS_PER_REFRESH = 2


class QueueWatcher:
    """Tracks the unfinished jobs by a store watch and by polling.

    Parameters
    ----------
    runtime : Runtime
    is_held : callable
        Returns whether this daemon holds or is claiming a chunk; called with
        the job and the chunk index.
    needs_fresh_state : callable
        Returns whether the state of a KnownJob must be read at each poll.
    get_lease_id : callable
        Returns the identifier of the lease of this daemon, 0 for none.
    on_stopped : callable
        Called with the identifier of a job that is cancelled or has ended.
    on_change : callable
        Called without arguments when there may be chunks to claim.

    Attributes
    ----------
    jobs : dict
        KnownJob by identifier of the job.
    """

    def __init__(
        self,
        *,
        runtime,
        is_held,
        needs_fresh_state,
        get_lease_id,
        on_stopped,
        on_change,
    ):
        self.runtime = runtime
        self.store = runtime.store
        self.is_held = is_held
        self.needs_fresh_state = needs_fresh_state
        self.get_lease_id = get_lease_id
        self.on_stopped = on_stopped
        self.on_change = on_change
        self.jobs = {}
        self.watch = None
        self.watched_at = None

    @property
    def poll_interval_s(self):
        """Interval between polls in seconds."""
        refresh = self.runtime.settings.timing.watch_refresh
        return refresh / POLLS_PER_REFRESH

    async def poll(self):
        """List the queue and read the jobs whose state is needed or stale."""
        entries = []
        after = None
        while True:
            page = await self.store.list(QUEUE_PREFIX, after=after)
            entries.extend(page.entries)
            if not page.has_more:
                break
            after = page.entries[-1].key
        self.open_watch(page.revision + 1)
        for entry in entries:
            if self.update_entry(entry):
                job = entry.key.removeprefix(QUEUE_PREFIX)
                self.jobs[job].read_at = None
        listed = {entry.key.removeprefix(QUEUE_PREFIX) for entry in entries}
        for job in set(self.jobs) - listed:
            self.remove_job(job)
        for known in list(self.jobs.values()):
            if self.needs_read(known):
                await self.read_job(known)

    def needs_read(self, known):
        if known.read_at is None or self.needs_fresh_state(known):
            return True
        if known.entry.state == JobStatus.CANCELLING.value:
            return True
        return time.monotonic() - known.read_at > MAX_RECORD_AGE_S

    def open_watch(self, revision):
        """Open the watch unless it is open."""
        if self.watch is not None:
            return
        self.watch = self.store.watch(
            QUEUE_PREFIX,
            on_event=self.handle_event,
            on_lost=self.handle_watch_lost,
            revision=revision,
        )

    def handle_watch_lost(self):
        self.watch = None

    def stop(self):
        """Stop the watch."""
        watch, self.watch = self.watch, None
        if watch is not None:
            watch.stop()

    def handle_event(self, entry):
        """Process a change reported by the watch."""
        if not entry.revision:
            self.remove_job(entry.key.removeprefix(QUEUE_PREFIX))
        elif self.update_entry(entry):
            known = self.jobs[entry.key.removeprefix(QUEUE_PREFIX)]
            self.spawn(self.read_job(known))

    def update_entry(self, entry):
        """Update a job from a queue entry; return False unless it is newer."""
        queued = decode_queue_entry(entry.content)
        known = self.jobs.get(queued.job)
        if known is None:
            known = KnownJob(entry=queued, revision=entry.revision)
            self.jobs[queued.job] = known
        elif known.revision >= entry.revision:
            return False
        known.entry = queued
        known.revision = entry.revision
        if queued.state != JobStatus.IN_PROGRESS.value:
            self.on_stopped(queued.job)
        return True

    def remove_job(self, job):
        """Remove a job that is no longer in the queue."""
        if self.jobs.pop(job, None) is not None:
            self.on_stopped(job)

    async def read_job(self, known):
        """Read the record and the claims of a job."""
        entry = known.entry
        try:
            record = await read_record(self.store, entry.workspace, entry.job)
        except BatchNotFoundError:
            return
        if record.status.ended:
            await remove_from_queue(self.store, entry.job)
            self.remove_job(entry.job)
            return
        if record.status is JobStatus.CANCELLING:
            known.record = record
            self.on_stopped(entry.job)
            # A claim whose deletion failed would prevent the job from ending.
            await self.delete_orphaned_claims(
                entry.job, await list_claims(self.store, entry.job)
            )
            if await finish_cancelled_job(self.store, record):
                self.remove_job(entry.job)
            return
        claims = await list_claims(self.store, entry.job)
        known.record = record
        known.claimed = set(claims)
        known.read_at = time.monotonic()
        self.on_change()
        await self.delete_orphaned_claims(entry.job, claims)

    async def delete_orphaned_claims(self, job, claims):
        """Delete claims of this daemon on chunks that it does not hold."""
        lease = self.get_lease_id()
        for chunk, entry in claims.items():
            if lease and entry.lease == lease:
                if not self.is_held(job, chunk):
                    await delete_claim(self.store, job, chunk, entry.revision)

    async def finish_if_cancelled(self, job):
        """Finish a cancelled job if it is known and has no claims."""
        known = self.jobs.get(job)
        if known is not None:
            await self.read_job(known)

    def spawn(self, coroutine):
        """Run a coroutine in the background and log its failure."""
        defer.ensureDeferred(coroutine).addErrback(log_failure)


def log_failure(failure):
    if failure.check(defer.CancelledError):
        return
    if failure.check(HollyspanError):
        eliot.log_message(
            message_type="jobs:failed", reason=failure.value.code
        )
        return
    eliot.write_failure(failure)
