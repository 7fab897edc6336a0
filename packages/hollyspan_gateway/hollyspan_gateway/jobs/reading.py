"""Reads of job results and item bodies."""

from urllib.parse import parse_qs
from urllib.parse import quote
from urllib.parse import unquote
from urllib.parse import urlencode

import eliot
from twisted.internet import defer
from twisted.web import http

from hollyspan_core.errors import BatchNotFoundError
from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import Outcome
from hollyspan_policy.drain import bound_wait
from hollyspan_policy.ownership import choose_owner

from ..http1 import answer_internal_error
from ..peers import fetch_answer
from .view import JobView

__all__ = ["JobReadService"]

# Results of a job that has not been read for this long are evicted.
VIEW_IDLE_TIMEOUT_S = 20.0
# Longest wait of a read for new results. The client times out 1.5 s after the
# wait that it requests.
MAX_READ_WAIT_S = 1.0
# Time for the answer of a job's reader beyond the wait for results: several
# times the latency of a read in the store, and less than half of the 1.5 s
# that the client allows.
READER_TIMEOUT_S = 0.6
# Part of the bytes of results that are held which one job may take.
VIEW_SHARE = 2
# Results in one answer as they are sent, whose size is limited to one
# megabyte.
MAX_RESULTS_BYTES = 999_000


class JobReadService:
    """Serves reads of jobs.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    views : dict
        JobView by the job's identifier.

    Notes
    -----
    Load pattern: each read of a client uses a new connection, so that the
    reads of one job are spread over all gateways of a region. One of them,
    the job's reader, follows it in the store, and the others forward reads to
    it. A gateway reads the store itself when the reader does not answer.
    """

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.views = {}

    def find_reader(self, identifier):
        """Return the Peer that reads a job, None for this gateway itself."""
        peers = self.gateway.peers
        candidates = {
            peer.identifier: peer
            for peer in peers.list_live()
            if peer.region == peers.region
            and peer.reaches_store
            and not peer.is_leaving
        }
        owner = choose_owner(identifier, [*candidates, peers.identifier])
        return candidates.get(owner)

    async def find_view(self, identifier, *, caller=None):
        """Return the view of a job for a caller of its workspace.

        Parameters
        ----------
        identifier : str
        caller : str or None, optional
            Name of the caller's workspace.

        Raises
        ------
        AuthenticationError
        BatchNotFoundError
        StoreUnavailableError
        """
        view = await self.open_view(identifier)
        self.gateway.workspaces.require_job_access(view.job, caller)
        return view

    async def open_view(self, identifier):
        """Return the view of a job, reading its record if necessary."""
        self.evict_idle_views()
        self.evict_excess_views(identifier)
        view = self.views.get(identifier)
        if view is not None:
            return view
        job = await self.gateway.bodies.read_job(identifier)
        if job is None:
            raise BatchNotFoundError("no such job")
        view = JobView(
            job=job,
            store=self.gateway.store,
            reactor=self.gateway.reactor,
            limit=self.gateway.bodies.limit // VIEW_SHARE,
        )
        return self.views.setdefault(identifier, view)

    def evict_idle_views(self):
        """Evict the results of jobs that have not been read recently."""
        idle_since = self.gateway.reactor.seconds() - VIEW_IDLE_TIMEOUT_S
        for identifier, view in list(self.views.items()):
            if view.last_used < idle_since and not view.is_reading:
                del self.views[identifier]

    def count_held_bytes(self):
        """Return the bytes of the jobs and results that are held."""
        return sum(
            view.held_bytes + view.described_bytes
            for view in self.views.values()
        )

    def evict_excess_views(self, identifier):
        """Evict the results that were read least recently, beyond a limit.

        Those of the job that is read now stay.
        """
        held = self.count_held_bytes()
        for other, view in sorted(
            self.views.items(), key=lambda each: each[1].last_used
        ):
            if held <= self.gateway.bodies.limit:
                return
            if other != identifier and not view.is_reading:
                held -= view.held_bytes + view.described_bytes
                del self.views[other]

    async def read(
        self, request, identifier, *, position, wait_seconds, caller=None
    ):
        """Answer a client with the results from a position onwards."""
        wait = bound_wait(
            min(wait_seconds, MAX_READ_WAIT_S),
            seconds_left=self.gateway.seconds_left,
            answer_seconds=READER_TIMEOUT_S,
        )
        query = {"position": position, "wait": wait}
        if caller is not None:
            query["workspace"] = caller
        if not await self.forward_to_reader(
            request, identifier, query, seconds=wait
        ):
            await self.read_locally(
                request,
                identifier,
                position=position,
                wait_seconds=wait,
                caller=caller,
            )

    async def read_body(self, request, identifier, item, *, caller=None):
        """Answer a client with the body of an item."""
        query = {"item": item}
        if caller is not None:
            query["workspace"] = caller
        if not await self.forward_to_reader(
            request, identifier, query, seconds=0.0
        ):
            await self.read_body_locally(
                request, identifier, item, caller=caller
            )

    async def forward_to_reader(self, request, identifier, query, *, seconds):
        """Answer a client with the reply of the job's reader.

        Returns
        -------
        bool
            False when this gateway has to read the store itself.
        """
        peer = self.find_reader(identifier)
        if peer is None:
            return False
        answer = await fetch_answer(
            self.gateway.pool,
            peer,
            port=self.gateway.settings.snapshot_port,
            target=f"{quote(identifier, safe='')}?{urlencode(query)}",
            timeout_seconds=seconds + READER_TIMEOUT_S,
        )
        if answer is None:
            return False
        request.answer(http.OK, *answer)
        return True

    def answer_peer(self, request, target):
        """Answer a read that a peer has forwarded.

        Parameters
        ----------
        request : ClientRequest
        target : str
            Identifier of the job and the query.
        """
        work = defer.ensureDeferred(self.read_for_peer(request, target))
        request.on_disconnect = work.cancel
        work.addErrback(answer_internal_error, request)

    async def read_for_peer(self, request, target):
        quoted, _, query = target.partition("?")
        identifier = unquote(quoted)
        values = {name: each[0] for name, each in parse_qs(query).items()}
        try:
            await self.gateway.work.run(
                self.read_by_query(request, identifier, values),
                find_outcome=lambda: Outcome.NOT_RUN,
            )
        except (HollyspanError, ValueError, KeyError) as error:
            eliot.log_message(
                "job:peer_read_failed", job=identifier, reason=str(error)
            )
            request.answer(http.SERVICE_UNAVAILABLE, [], b"")

    async def read_by_query(self, request, identifier, values):
        caller = values.get("workspace")
        if "item" in values:
            await self.read_body_locally(
                request, identifier, values["item"], caller=caller
            )
            return
        await self.read_locally(
            request,
            identifier,
            position=int(values["position"]),
            wait_seconds=float(values["wait"]),
            caller=caller,
        )

    async def read_locally(
        self, request, identifier, *, position, wait_seconds, caller=None
    ):
        """Answer with results from the store."""
        view = await self.find_view(identifier, caller=caller)
        await view.wait_for(position, seconds=wait_seconds)
        _, headers, body = self.gateway.dialect.encode_results(
            total=view.job.item_count,
            position=position,
            results=await view.read_page(
                position, max_bytes=MAX_RESULTS_BYTES
            ),
            max_bytes=MAX_RESULTS_BYTES,
        )
        request.answer(http.OK, headers, body)

    async def read_body_locally(
        self, request, identifier, item, *, caller=None
    ):
        """Answer with the body of an item from the store."""
        view = await self.find_view(identifier, caller=caller)
        if item not in view.item_identifiers:
            raise BatchNotFoundError("no such item")
        found = await self.gateway.bodies.read(identifier, item)
        headers = self.gateway.dialect.build_body_headers()
        request.answer(http.OK, headers, found.body)
