"""Reads of jobs' results and bodies."""

from urllib.parse import parse_qs
from urllib.parse import quote
from urllib.parse import unquote
from urllib.parse import urlencode

import eliot
from twisted.internet import defer
from twisted.web import http

from hollyspan_core.errors import BatchNotFoundError
from hollyspan_core.errors import HollyspanError
from hollyspan_policy.ownership import choose_owner

from ..http1 import answer_defect
from ..peers import fetch_answer
from .loading import load_job
from .view import JobView

__all__ = ["JobReading"]

# Seconds without a read after which a job's results leave the memory.
VIEW_IDLE_S = 20.0
# Longest wait of a read for news, seconds; the client waits 1.5 s longer than
# it allows.
MAX_WAIT_S = 1.0
# Seconds beyond its wait for the answer of a job's reader: the store's time
# for a read several times over, and half of what the client allows.
READER_S = 0.6
# Bytes of outputs in one answer, below the megabyte that it may have.
ANSWER_BYTES = 700_000


class JobReading:
    """Answers reads of jobs.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    views : dict
        JobView by the job's identifier.

    Notes
    -----
    Load pattern: each read of a client comes on a new connection, so that the
    reads of one job meet all gateways of a region. One of them, the job's
    reader, follows it in the store and the others ask it; each can read the
    store itself when the reader does not answer.
    """

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.views = {}

    def find_reader(self, identifier):
        """Return the Peer that reads a job, None for this gateway."""
        peers = self.gateway.peers
        near = {
            peer.identifier: peer
            for peer in peers.list_live()
            if peer.region == peers.region
            and peer.reaches_store
            and not peer.is_leaving
        }
        owner = choose_owner(identifier, [*near, peers.identifier])
        return near.get(owner)

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
        """Answer a client with the results from a position on."""
        wait = min(wait_seconds, MAX_WAIT_S)
        query = {"position": position, "wait": wait}
        if not await self.ask_reader(request, identifier, query, seconds=wait):
            await self.read_here(
                request, identifier, position=position, wait_seconds=wait
            )

    async def read_body(self, request, identifier, item):
        """Answer a client with the body of an item."""
        query = {"item": item}
        if not await self.ask_reader(request, identifier, query, seconds=0.0):
            await self.read_body_here(request, identifier, item)

    async def ask_reader(self, request, identifier, query, *, seconds):
        """Answer with what the job's reader knows.

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
            port=self.gateway.settings.copies_port,
            target=f"{quote(identifier, safe='')}?{urlencode(query)}",
            timeout_seconds=seconds + READER_S,
        )
        if answer is None:
            return False
        request.answer(http.OK, *answer)
        return True

    def answer_peer(self, request, target):
        """Answer a peer's read.

        Parameters
        ----------
        request : ClientRequest
        target : str
            Identifier of the job and the query.
        """
        work = defer.ensureDeferred(self.read_for_peer(request, target))
        request.on_gone = work.cancel
        work.addErrback(answer_defect, request)

    async def read_for_peer(self, request, target):
        quoted, _, query = target.partition("?")
        identifier = unquote(quoted)
        values = {name: each[0] for name, each in parse_qs(query).items()}
        try:
            if "item" in values:
                await self.read_body_here(request, identifier, values["item"])
                return
            await self.read_here(
                request,
                identifier,
                position=int(values["position"]),
                wait_seconds=float(values["wait"]),
            )
        except (HollyspanError, ValueError, KeyError) as failure:
            eliot.log_message(
                "job:peer_read_failed", job=identifier, reason=str(failure)
            )
            request.answer(http.SERVICE_UNAVAILABLE, [], b"")

    async def read_here(self, request, identifier, *, position, wait_seconds):
        """Answer from the store."""
        view = await self.find_view(identifier)
        await view.wait_for(position, seconds=wait_seconds)
        results = limit_results(view.results[position:])
        _, headers, body = self.gateway.dialect.encode_results(
            total=len(view.job.items), position=position, results=results
        )
        request.answer(http.OK, headers, body)

    async def read_body_here(self, request, identifier, item):
        """Answer with an item's body from the store."""
        view = await self.find_view(identifier)
        found = view.bodies.get(item)
        if found is None:
            raise BatchNotFoundError("no such item")
        headers = self.gateway.dialect.list_body_headers()
        request.answer(http.OK, headers, found.body)


def limit_results(results):
    """Return the first results whose outputs fit into one answer."""
    size = 0
    for count, result in enumerate(results):
        size += len(result.output)
        if count and size > ANSWER_BYTES:
            return results[:count]
    return results
