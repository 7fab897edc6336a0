import types

from twisted.internet import defer
from twisted.internet import reactor
from twisted.trial import unittest
from twisted.web import resource
from twisted.web import server

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import UpstreamUnavailableError
from hollyspan_entry.intake import open_agent
from hollyspan_entry.upstreams import call
from hollyspan_entry.upstreams import Upstream
from hollyspan_entry.upstreams import UpstreamRegistry


class DroppingService(resource.Resource):
    """Answers the first call and aborts the connection on later ones."""

    isLeaf = True
    calls = 0

    def render_GET(self, request):
        self.calls += 1
        if self.calls == 1:
            return b"{}"
        request.channel.transport.abortConnection()
        return server.NOT_DONE_YET


class CallTest(unittest.TestCase):
    async def test_lost_call_on_a_persistent_connection_is_not_resent(self):
        service = DroppingService()
        port = reactor.listenTCP(
            0, server.Site(service), interface="127.0.0.1"
        )
        self.addCleanup(port.stopListening)
        upstream = Upstream(
            name="clock",
            kind="service",
            service="clock",
            data_centre="a",
            address="127.0.0.1",
            port=port.getHost().port,
            slots=1,
        )

        async def send(agent):
            runtime = types.SimpleNamespace(
                agent=agent, reactor=reactor, upstreams=UpstreamRegistry()
            )
            return await call.fetch_json(
                runtime=runtime, upstream=upstream, path="/status", timeout=2.0
            )

        with open_agent(reactor, timeout=2.0) as agent:
            await send(agent)
            error = await self.assertFailure(
                defer.ensureDeferred(send(agent)), UpstreamUnavailableError
            )
        self.assertIs(error.outcome, Outcome.UNKNOWN)
        self.assertEqual(service.calls, 2)
