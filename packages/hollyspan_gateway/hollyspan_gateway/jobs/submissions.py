"""Submission, reading and end of jobs."""

import eliot

from hollyspan_core.errors import BatchNotFoundError
from hollyspan_core.errors import StoreKeyExistsError

from .job import Job
from .loading import load_job
from .records import build_end_key
from .records import encode_job
from .view import JobView

__all__ = ["Submissions"]

# Seconds without a read after which a job's results leave the memory.
VIEW_IDLE_S = 20.0
# Longest wait of a read for news, seconds; the client waits 1.5 s longer than
# it allows.
MAX_WAIT_S = 1.0
# Bytes of outputs in one answer, below the megabyte that it may have.
ANSWER_BYTES = 700_000
# Time for a job whose route states none, seconds.
DEFAULT_COMPLETION_S = 3600.0


class Submissions:
    """Serves the clients of jobs.

    Parameters
    ----------
    gateway : Gateway
    """

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.views = {}

    async def handle(self, request, head, route):
        """Take a job in.

        Parameters
        ----------
        request : ClientRequest
        head : RequestHead
        route : Route

        Raises
        ------
        InvalidRequestError
            The body is no job.
        StoreUnavailableError
            The job was not kept, or may not have been.
        """
        items = self.gateway.dialect.decode_items(request.content.getvalue())
        now = self.gateway.wall_clock()
        job = Job(
            identifier=head.identifier,
            host=head.host,
            path=head.path,
            submitted=now,
            due=now + (route.completion_seconds or DEFAULT_COMPLETION_S),
            retained_until=now
            + (route.retention_seconds or DEFAULT_COMPLETION_S),
            items=items,
        )
        is_new = await self.keep(job)
        eliot.log_message(
            "job:accepted",
            job=job.identifier,
            items=len(items),
            is_new=is_new,
            seconds=self.gateway.reactor.seconds() - request.arrived,
        )
        self.gateway.metrics.count_request("job_accepted")
        status, headers, body = self.gateway.dialect.encode_accepted()
        request.answer(status, headers, body)

    async def keep(self, job):
        """Create the record of a job, if there is none yet."""
        try:
            await self.gateway.store.create(encode_job(job))
        except StoreKeyExistsError:
            return False
        return True

    async def find_view(self, identifier):
        """Return the view of a job.

        Raises
        ------
        BatchNotFoundError
        StoreUnavailableError
        """
        self.drop_idle()
        view = self.views.get(identifier)
        if view is not None:
            return view
        job = await load_job(self.gateway.store, identifier)
        if job is None:
            raise BatchNotFoundError("no such job")
        view = JobView(
            job=job, store=self.gateway.store, reactor=self.gateway.reactor
        )
        return self.views.setdefault(identifier, view)

    def drop_idle(self):
        """Forget the results of jobs that nobody reads."""
        before = self.gateway.reactor.seconds() - VIEW_IDLE_S
        for identifier, view in list(self.views.items()):
            if view.used < before and not view.is_reading:
                del self.views[identifier]

    async def read(self, request, identifier, *, position, wait_seconds):
        """Answer with the results from a position on."""
        view = await self.find_view(identifier)
        await view.wait_for(position, seconds=min(wait_seconds, MAX_WAIT_S))
        results = limit_results(view.results[position:])
        status, headers, body = self.gateway.dialect.encode_results(
            total=len(view.job.items), position=position, results=results
        )
        request.answer(status, headers, body)

    async def read_body(self, request, identifier, item):
        """Answer with the body of an item."""
        view = await self.find_view(identifier)
        found = view.bodies.get(item)
        if found is None:
            raise BatchNotFoundError("no such item")
        request.answer(
            200, self.gateway.dialect.list_body_headers(), found.body
        )

    async def end(self, request, identifier):
        """End a job."""
        await self.find_view(identifier)
        try:
            await self.gateway.store.create({build_end_key(identifier): b""})
        except StoreKeyExistsError:
            eliot.log_message("job:ended_before", job=identifier)
        else:
            eliot.log_message("job:ended", job=identifier)
        request.answer(200, [], b"")


def limit_results(results):
    """Return the first results whose outputs fit into one answer."""
    size = 0
    for count, result in enumerate(results):
        size += len(result.output)
        if count and size > ANSWER_BYTES:
            return results[:count]
    return results
