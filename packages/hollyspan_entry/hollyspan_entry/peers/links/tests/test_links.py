"""Tests of the links between two daemons over real sockets."""

import json
import time

from hypothesis import given
from hypothesis import strategies
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.trial import unittest

from hollyspan_core.configuration import Configuration
from hollyspan_core.errors import OverloadedError
from hollyspan_core.errors import PeerAnswerError
from hollyspan_core.errors import PeerMessageError
from hollyspan_core.errors import PeerUnavailableError
from hollyspan_core.messages import build_hello
from hollyspan_core.messages import encode_message
from hollyspan_core.messages import ForwardHead
from hollyspan_core.messages import ForwardRequest
from hollyspan_core.messages import Hello
from hollyspan_core.settings.settings import Settings
from hollyspan_core.settings.timing import Timing
from hollyspan_entry.configurations import ConfigurationHolder
from hollyspan_entry.peers.counters import PeerCounters
from hollyspan_entry.peers.links.part import open_links
from hollyspan_entry.peers.links.session import Session
from hollyspan_entry.runtime import Runtime
from hollyspan_entry.upstreams import UpstreamRegistry
from hollyspan_policy.membership import Member
from hollyspan_policy.membership import MemberTable

DOCUMENT = {"generation": 7, "services": {}, "keys": []}


def build_runtime(name, *, port, region, key=b"key"):
    settings = Settings(
        instance=name,
        data_centre=f"{region}-a",
        region=region,
        http_address="127.0.0.1",
        http_port=1,
        peer_address="127.0.0.1",
        peer_port=port,
        peer_key=key,
        store_url="",
        instances_url="",
        operator_key="",
        signing_key=b"",
        data_folder=None,
        log_path=None,
        timing=Timing(connect_timeout=0.5),
    )
    runtime = Runtime(
        settings=settings,
        reactor=reactor,
        agent=None,
        store=None,
        configurations=ConfigurationHolder(),
        upstreams=UpstreamRegistry(),
        members=MemberTable(timeout=60.0),
        root=None,
        incarnation=1,
        create_token=None,
    )
    runtime.peer_counters = PeerCounters()
    return runtime


def build_member(runtime, *, port):
    return Member(
        instance=runtime.settings.instance,
        data_centre=runtime.settings.data_centre,
        incarnation=1,
        sequence=1,
        address="127.0.0.1",
        peer_port=port,
        http_port=1,
        leaving=False,
        generation=7,
        free_slots=4,
        last_seen=time.monotonic(),
        region=runtime.settings.region,
    )


def find_port():
    port = reactor.listenTCP(0, protocol.Factory(), interface="127.0.0.1")
    number = port.getHost().port
    return port.stopListening(), number


def build_request():
    return ForwardRequest(
        path="/v1/completions",
        body=b"{}",
        workspace="dev",
        key="online/1",
        deadline_seconds=5.0,
        streamed=True,
        online=True,
        request_id="r1",
    )


class LinksTest(unittest.TestCase):
    timeout = 20

    async def start(self, *, key=b"key"):
        """Start two daemons; the first one calls the second one."""
        closed, port = find_port()
        await closed
        closed, own_port = find_port()
        await closed
        self.caller = build_runtime("a", port=own_port, region="attiki")
        self.answerer = build_runtime("b", port=port, region="kriti", key=key)
        self.answerer.configurations.apply(Configuration(document=DOCUMENT))
        for runtime in (self.caller, self.answerer):
            manager = open_links(runtime)
            manager.__enter__()
            self.addCleanup(self.close, manager)
        self.member = build_member(self.answerer, port=port)
        self.caller.members.observe(self.member)

    async def close(self, manager):
        manager.__exit__(None, None, None)
        await pause(0.05)

    async def expect(self, failure, work):
        try:
            await work
        except failure as error:
            return error
        self.fail(f"no {failure.__name__}")

    async def test_newer_configuration_is_pulled(self):
        await self.start()
        pull = self.caller.links.pull_configuration
        content = await pull(self.member, above=6)
        assert json.loads(content) == DOCUMENT
        assert await pull(self.member, above=7) == b""

    async def test_statistics_are_pulled(self):
        await self.start()
        self.answerer.links.statistics_providers["burn"] = lambda: {"rows": []}
        pull = self.caller.links.pull_statistics
        content = await pull(self.member, kind="burn")
        assert json.loads(content) == {"rows": []}
        await self.expect(PeerAnswerError, pull(self.member, kind="other"))

    async def test_daemon_with_wrong_key_is_rejected(self):
        await self.start(key=b"other")
        pull = self.caller.links.pull_configuration(self.member, above=0)
        error = await self.expect(PeerUnavailableError, pull)
        assert error.outcome.value == "not_run"
        assert self.caller.peer_counters.foreign == 1

    async def test_request_is_forwarded(self):
        await self.start()

        async def serve(*, request, on_head, on_data):
            on_head(ForwardHead(status=200, content_type="text/plain"))
            on_data(request.path.encode())
            await pause(0)
            on_data(b"!")

        self.answerer.serve_forward = serve
        heads = []
        parts = []
        await self.caller.forward(
            request=build_request(),
            on_head=heads.append,
            on_data=parts.append,
        )
        assert heads[0].status == 200
        assert b"".join(parts) == b"/v1/completions!"
        pairs = self.caller.peer_counters.forwarded
        assert {tuple(p) for p in pairs} == {
            ("attiki", "kriti"),
            ("kriti", "attiki"),
        }

    async def test_rejection_keeps_its_outcome(self):
        await self.start()

        async def serve(*, request, on_head, on_data):
            raise OverloadedError("no room", retry_after=2)

        self.answerer.serve_forward = serve
        error = await self.expect(PeerAnswerError, self.forward_request())
        assert error.code == "overloaded"
        assert error.outcome.value == "not_run"
        assert error.retry_after == 2

    async def test_disconnected_caller_cancels_request(self):
        await self.start()
        started = defer.Deferred()
        stopped = defer.Deferred()

        async def serve(*, request, on_head, on_data):
            started.callback(None)
            try:
                await defer.Deferred()
            finally:
                stopped.callback(None)

        self.answerer.serve_forward = serve
        running = defer.ensureDeferred(self.forward_request())
        running.addErrback(lambda failure: failure.trap(defer.CancelledError))
        await started
        running.cancel()
        await stopped

    async def test_outcome_is_unknown_after_broken_link(self):
        await self.start()

        async def serve(*, request, on_head, on_data):
            for link in self.caller.links.by_address.values():
                link.transport.abortConnection()
            await defer.Deferred()

        self.answerer.serve_forward = serve
        error = await self.expect(PeerUnavailableError, self.forward_request())
        assert error.outcome.value == "unknown"

    async def test_damaged_frame_closes_only_the_link(self):
        await self.start()
        sent = defer.Deferred()

        class Garbage(protocol.Protocol):
            def connectionMade(self):
                self.transport.write(b"\0\0\0\x20" + b"x" * 32)

            def connectionLost(self, reason=None):
                sent.callback(None)

        factory = protocol.Factory.forProtocol(Garbage)
        endpoint = endpoints.TCP4ClientEndpoint(
            reactor, "127.0.0.1", self.member.peer_port
        )
        await endpoint.connect(factory)
        await sent
        assert self.answerer.peer_counters.foreign == 1
        pull = self.caller.links.pull_configuration
        assert await pull(self.member, above=6)

    def forward_request(self):
        return self.caller.forward(
            request=build_request(),
            on_head=lambda head: None,
            on_data=lambda data: None,
        )


class SessionTest(unittest.TestCase):
    def test_frame_is_accepted_once_and_in_its_direction(self):
        server = Session(key=b"key", is_server=True)
        client = Session(key=b"key", is_server=False)
        frame = server.encode(build_first_hello())
        client.decode(frame)
        self.assertRaises(PeerMessageError, client.decode, frame)
        self.assertRaises(PeerMessageError, server.decode, frame)

    def test_frame_of_another_link_is_rejected(self):
        server = Session(key=b"key", is_server=True)
        client = Session(key=b"key", is_server=False)
        server.extend(b"1")
        client.extend(b"2")
        frame = server.encode(build_first_hello())
        self.assertRaises(PeerMessageError, client.decode, frame)

    @given(strategies.binary(max_size=100))
    def test_frame_with_wrong_digest_is_rejected(self, frame):
        client = Session(key=b"key", is_server=False)
        self.assertRaises(PeerMessageError, client.decode, frame)
        plain = encode_message(build_first_hello(), key=b"key")
        self.assertRaises(PeerMessageError, client.decode, plain)


def build_first_hello():
    return build_hello(
        Hello(instance="a", data_centre="x", region="y", nonce=b"n")
    )


def pause(seconds):
    done = defer.Deferred()
    reactor.callLater(seconds, done.callback, None)
    return done


class UnknownPeerTest(unittest.TestCase):
    """A program that is no daemon sends to the port of the links."""

    timeout = 20

    async def start(self):
        port = reactor.listenTCP(0, protocol.Factory(), interface="127.0.0.1")
        number = port.getHost().port
        await port.stopListening()
        self.runtime = build_runtime("a", port=number, region="r")
        links = open_links(self.runtime)
        links.__enter__()
        self.addCleanup(links.__exit__, None, None, None)
        other = OtherProgram()
        await endpoints.connectProtocol(
            endpoints.TCP4ClientEndpoint(reactor, "127.0.0.1", number), other
        )
        return other

    # Failure: a frame of 2 MB was awaited from whoever connected.
    async def test_a_long_first_frame_is_refused_by_its_length(self):
        other = await self.start()
        other.transport.write((100_000).to_bytes(4, "big"))
        await other.ended
        self.assertEqual(self.runtime.peer_counters.damaged, 1)

    # Failure: each frame behind the first wrong one was decoded as well.
    async def test_frames_behind_a_wrong_one_are_not_decoded(self):
        other = await self.start()
        other.transport.write(b"\0\0\0\1x" * 1000)
        await other.ended
        counters = self.runtime.peer_counters
        self.assertEqual(counters.damaged + counters.foreign, 1)


class OtherProgram(protocol.Protocol):
    """Connection of a program that is no daemon."""

    def __init__(self):
        self.ended = defer.Deferred()

    def connectionLost(self, reason=protocol.connectionDone):
        self.ended.callback(None)
