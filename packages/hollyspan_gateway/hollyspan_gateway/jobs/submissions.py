"""Submission and ending of jobs."""

import contextlib
import io

import eliot

from hollyspan_core.errors import IdentifierTakenError
from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import OverloadedError
from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_policy.batch import fits_anywhere

from ..routes import RouteKind
from .job import Job
from .job_room import measure_job
from .loading import load_job
from .quota_records import build_quota_identifier
from .quota_records import build_release_key
from .records import build_end_key
from .records import build_job_key
from .records import build_result_key
from .records import encode_job

__all__ = ["MAX_SUBMISSION_S", "Submissions"]

# Time within which the platform expects the answer to a submission.
MAX_SUBMISSION_S = 4.0
# Used for a route that states no completion or retention time.
DEFAULT_COMPLETION_S = 3600.0
# Limit of the store.
MAX_KEY_BYTES = 200
# Usual time in which a long job is stored.
RETRY_AFTER_S = 0.5
# Time within which workers that are full end some items and tell so.
ROOM_RETRY_AFTER_S = 2.0


class Submissions:
    """Serves clients that submit or end jobs.

    Parameters
    ----------
    gateway : Gateway
    limit : int
        Bytes of the jobs that arrive or are being accepted at the same time.

    Attributes
    ----------
    held_bytes : int
        Bytes of those that arrive or are being accepted now.
    refused : int
        Number of jobs that were refused since there was no room.
    without_room : int
        Number of those refused since no worker had room for them.
    """

    def __init__(self, *, gateway, limit):
        self.gateway = gateway
        self.limit = limit
        self.held_bytes = 0
        self.refused = 0
        self.without_room = 0

    def find_room(self, host, path):
        """Find what bounds the body of a request that arrives.

        Parameters
        ----------
        host, path : str
            Of the request.

        Returns
        -------
        callable or None
            `hold` for a job, None for what is no job.
        """
        table = self.gateway.routes
        route = None if table is None else table.find(host, path)
        if route is None or route.kind is not RouteKind.BATCH:
            return None
        return self.hold

    @contextlib.contextmanager
    def hold(self, size):
        """Hold the bytes of a job, which is refused if there is no room.

        One job is accepted whatever its size. Room is held for the whole of
        a job before its first byte is read: jobs that arrive together would
        otherwise each be broken off with a part of the room.

        Raises
        ------
        OverloadedError
        """
        if self.held_bytes and self.held_bytes + size > self.limit:
            self.refused += 1
            raise OverloadedError(
                f"{self.held_bytes} bytes of other jobs are being accepted",
                outcome=Outcome.NOT_RUN,
                retry_after=RETRY_AFTER_S,
            )
        self.held_bytes += size
        try:
            yield
        finally:
            self.held_bytes -= size

    async def handle(self, request, head, route):
        """Accept a job.

        Parameters
        ----------
        request : ClientRequest
        head : RequestHead
        route : Route

        Raises
        ------
        IdentifierTakenError
            A job of another workspace has the identifier.
        InvalidRequestError
            The body is not a valid job.
        OverloadedError
            Too many bytes of jobs are being accepted, or no worker has room
            for the job.
        QuotaExceededError
            The job's tokens do not fit under the route's limit now.
        StoreUnavailableError
            The job was not stored, or it is unknown whether it was.
        """
        room = request.take_room()
        if room is None:
            room = self.hold(len(request.content.getvalue()))
        with room:
            await self.accept(request, head, route)

    async def accept(self, request, head, route):
        job = self.build_job(request, head, route)
        # Freed before the job is encoded.
        request.content = io.BytesIO()
        await self.require_room(job)
        is_new = await self.create_record(job, route)
        if not is_new:
            await self.require_same_workspace(job)
        eliot.log_message(
            "job:accepted",
            job=job.identifier,
            items=len(job.items),
            is_new=is_new,
            seconds=self.gateway.reactor.seconds() - request.arrived_at,
        )
        self.gateway.metrics.count_request(
            "job_accepted", kind=route.kind.value
        )
        status, headers, body = self.gateway.dialect.encode_accepted()
        request.answer(status, headers, body)

    def build_job(self, request, head, route):
        """Return the job in a request."""
        items = self.gateway.dialect.decode_items(request.content.getvalue())
        for item in items:
            item.headers = self.gateway.workspaces.drop_credentials(
                item.headers
            )
        require_short_keys(head.identifier, items)
        now = self.gateway.wall_clock()
        return Job(
            identifier=head.identifier,
            host=head.host,
            path=head.path,
            submitted=now,
            due=now + (route.completion_seconds or DEFAULT_COMPLETION_S),
            retained_until=now
            + (route.retention_seconds or DEFAULT_COMPLETION_S),
            items=items,
            workspace=head.workspace,
        )

    async def require_room(self, job):
        """Raise an error if no worker has room for a new job.

        One that was accepted before is answered as before: its client may
        have lost the answer.
        """
        if fits_anywhere(measure_job(job.items), self.list_rooms()):
            return
        key = build_job_key(job.identifier)
        if await self.gateway.store.get(key) is not None:
            return
        self.without_room += 1
        raise OverloadedError(
            "no gateway that runs items has room for the job",
            outcome=Outcome.NOT_RUN,
            retry_after=ROOM_RETRY_AFTER_S,
        )

    def list_rooms(self):
        """Return the bytes left at the gateways that run items."""
        rooms = [
            peer.job_room
            for peer in self.gateway.peers.list_live()
            if peer.runs_batch and peer.reaches_store
        ]
        if self.gateway.can_run_items:
            rooms.append(self.gateway.worker.catalogue.room.describe())
        return rooms

    async def create_record(self, job, route):
        """Create the record of a job; return False if it exists already."""
        if route.max_waiting_tokens:
            return await self.gateway.quotas.create_record(
                job, route, on_encoded=job.drop_bodies
            )
        record = encode_job(job)
        job.drop_bodies()
        try:
            await self.gateway.store.create(record)
        except StoreKeyExistsError:
            return False
        return True

    async def require_same_workspace(self, job):
        """Raise an error if the job that exists belongs to another workspace.

        One whose record names no workspace, from an older build, may be any
        caller's.
        """
        if self.gateway.workspaces.table is None:
            return
        existing = await load_job(self.gateway.store, job.identifier)
        if existing is None:
            raise StoreUnavailableError(
                "the job of this identifier has just been removed",
                outcome=Outcome.NOT_RUN,
            )
        if existing.workspace not in (None, job.workspace):
            raise IdentifierTakenError("the identifier is taken")

    async def end(self, request, identifier, *, caller=None):
        """End a job for its client, who may have to belong to a workspace."""
        await self.gateway.reading.find_view(identifier, caller=caller)
        try:
            await self.gateway.store.create({build_end_key(identifier): b""})
        except StoreKeyExistsError:
            eliot.log_message("job:ended_before", job=identifier)
        else:
            eliot.log_message("job:ended", job=identifier)
        request.answer(200, [], b"")


def require_short_keys(identifier, items):
    """Raise an error unless the store has keys for a job and its results.

    Parameters
    ----------
    identifier : str
        That of the job.
    items : list of Item

    Raises
    ------
    InvalidRequestError
    """
    keys = [build_result_key(identifier, item.identifier) for item in items]
    keys.append(build_release_key(build_quota_identifier(""), identifier))
    longest = max(len(key.encode()) for key in keys)
    if longest > MAX_KEY_BYTES:
        raise InvalidRequestError(
            f"the identifiers need a key of {longest} bytes, "
            f"{MAX_KEY_BYTES} at most"
        )
