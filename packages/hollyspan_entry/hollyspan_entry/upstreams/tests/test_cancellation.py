"""Tests of the cancellation of requests."""

import types

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest
from twisted.web import client
from twisted.web import resource
from twisted.web import server

from hollyspan_entry.upstreams.call import open_response
from hollyspan_entry.upstreams.upstream import Upstream

TIMEOUT = 5.0


class SilentResource(resource.Resource):
    """Never answers."""

    isLeaf = True

    def render(self, request):
        return server.NOT_DONE_YET


class CancelTest(unittest.TestCase):
    timeout = 10.0

    def setUp(self):
        port = reactor.listenTCP(
            0, server.Site(SilentResource()), interface="127.0.0.1"
        )
        self.addCleanup(port.stopListening)
        pool = client.HTTPConnectionPool(reactor)
        self.addCleanup(pool.closeCachedConnections)
        self.runtime = types.SimpleNamespace(
            reactor=reactor, agent=client.Agent(reactor, pool=pool)
        )
        self.upstream = Upstream(
            name="e1",
            kind="engine",
            service="m",
            data_centre="attiki-a",
            address="127.0.0.1",
            port=port.getHost().port,
            slots=8,
        )

    def open(self):
        return defer.ensureDeferred(
            open_response(
                runtime=self.runtime,
                upstream=self.upstream,
                method=b"POST",
                path="/v1/completions",
                headers={},
                body=b"{}",
                timeout=TIMEOUT,
            )
        )

    async def test_cancel_while_waiting_for_the_answer(self):
        work = self.open()
        await task.deferLater(reactor, 0.2)
        work.cancel()
        await self.assertFailure(work, defer.CancelledError)

    async def test_cancel_while_connecting(self):
        work = self.open()
        work.cancel()
        await self.assertFailure(work, defer.CancelledError)
        assert self.upstream.reachable
