"""Submission and end of jobs."""

import eliot

from hollyspan_core.errors import StoreKeyExistsError

from .job import Job
from .records import build_end_key
from .records import encode_job

__all__ = ["Submissions"]

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
        self.gateway.metrics.count_request(
            "job_accepted", kind=route.kind.value
        )
        status, headers, body = self.gateway.dialect.encode_accepted()
        request.answer(status, headers, body)

    async def keep(self, job):
        """Create the record of a job, if there is none yet."""
        try:
            await self.gateway.store.create(encode_job(job))
        except StoreKeyExistsError:
            return False
        return True

    async def end(self, request, identifier):
        """End a job."""
        await self.gateway.reading.find_view(identifier)
        try:
            await self.gateway.store.create({build_end_key(identifier): b""})
        except StoreKeyExistsError:
            eliot.log_message("job:ended_before", job=identifier)
        else:
            eliot.log_message("job:ended", job=identifier)
        request.answer(200, [], b"")
