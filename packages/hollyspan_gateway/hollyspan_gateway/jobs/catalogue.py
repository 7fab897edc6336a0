"""The jobs that a worker knows, from the store."""

import eliot
from twisted.internet import defer

from hollyspan_core.errors import StoreUnavailableError
from hollyspan_policy.hashing import hash_parts

from ..clock import wait
from ..store import Mirror
from .loading import read_record
from .records import build_end_key
from .records import build_job_key
from .records import build_results_prefix
from .records import is_end_key
from .records import JOBS_PREFIX
from .records import read_job_identifier
from .records import read_result_item
from .work import ItemWork
from .work import JobWork

__all__ = ["JobCatalogue"]

# Pause before a record or results are read again, seconds.
READ_RETRY_S = 0.3


class JobCatalogue:
    """Follows the jobs in the store.

    Parameters
    ----------
    gateway : Gateway
    on_change : callable
        Called without arguments when items may have become startable.
    on_end : callable
        Called with a JobWork that its client has ended.

    Attributes
    ----------
    jobs : dict
        JobWork by identifier; None while its record is read.
    """

    def __init__(self, *, gateway, on_change, on_end):
        self.gateway = gateway
        self.on_change = on_change
        self.on_end = on_end
        self.jobs = {}
        self.is_first_list = True
        self.mirror = Mirror(
            store=gateway.store,
            reactor=gateway.reactor,
            prefix=JOBS_PREFIX,
            on_change=self.take_records,
        )

    def start(self):
        """Begin to follow the jobs."""
        self.mirror.start()

    def stop(self):
        """Stop following the jobs."""
        self.mirror.stop()

    def list_open(self):
        """Return the jobs that have items without a result."""
        return [
            job
            for job in self.jobs.values()
            if job is not None and not job.is_ended and not job.is_complete()
        ]

    def take_records(self, mirror):
        """Take over the jobs that the store lists."""
        is_first, self.is_first_list = self.is_first_list, False
        for key, entry in mirror.entries.items():
            identifier = read_job_identifier(key)
            if is_end_key(key):
                self.end_job(identifier)
            elif identifier not in self.jobs:
                # A placeholder, so that the record is read once.
                self.jobs[identifier] = None
                defer.ensureDeferred(
                    self.add_job(identifier, entry, is_checked=not is_first)
                ).addErrback(eliot.write_failure)
        for identifier, job in list(self.jobs.items()):
            if job is not None and build_job_key(identifier) not in (
                mirror.entries
            ):
                del self.jobs[identifier]

    async def add_job(self, identifier, entry, *, is_checked):
        try:
            job = await read_record(self.gateway.store, identifier, entry)
        except StoreUnavailableError as failure:
            eliot.log_message(
                "job:unreadable", job=identifier, reason=failure.message
            )
            await wait(self.gateway.reactor, READ_RETRY_S)
            await self.add_job(identifier, entry, is_checked=False)
            return
        work = JobWork(job=job, is_checked=is_checked)
        for item in job.items:
            key = hash_parts(identifier, item.identifier)
            work.items[item.identifier] = ItemWork(
                job=work, item=item, key=key
            )
        self.jobs[identifier] = work
        eliot.log_message(
            "job:seen",
            job=identifier,
            items=len(job.items),
            age=self.gateway.wall_clock() - job.submitted,
        )
        if build_end_key(identifier) in self.mirror.entries:
            self.end_job(identifier)
        self.on_change()

    def end_job(self, identifier):
        """Mark a job as ended by its client."""
        job = self.jobs.get(identifier)
        if job is None or job.is_ended:
            return
        job.is_ended = True
        eliot.log_message("job:stopped", job=identifier)
        self.on_end(job)

    def recheck(self):
        """Read the results again, since items may have changed hands."""
        for job in self.jobs.values():
            if job is not None:
                job.is_checked = False
        self.on_change()

    async def check_results(self, job):
        """Learn which items of a job have a result."""
        job.is_checking = True
        try:
            prefix = build_results_prefix(job.job.identifier)
            page = await self.gateway.store.list(prefix)
        except StoreUnavailableError as failure:
            eliot.log_message(
                "job:results_unreadable",
                job=job.job.identifier,
                reason=failure.message,
            )
            await wait(self.gateway.reactor, READ_RETRY_S)
            return
        finally:
            job.is_checking = False
        for entry in page.entries:
            work = job.items.get(read_result_item(entry.key))
            if work is not None:
                work.is_listed = True
        job.is_checked = True
        self.on_change()

    def begin_check(self, job):
        """Learn which items of a job have a result, once at a time."""
        if not job.is_checking:
            defer.ensureDeferred(self.check_results(job)).addErrback(
                eliot.write_failure
            )
