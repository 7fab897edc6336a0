"""Answers without end, on real sockets.

No time limit of a call is reached in these tests: the limits on bytes and
pieces end the calls.
"""

import os
import types

from twisted.internet import defer
from twisted.internet import reactor
from twisted.trial import unittest

from hollyspan_core.errors import InstanceListError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_core.errors import StreamMalformedError
from hollyspan_core.errors import UpstreamUnavailableError
from hollyspan_core.settings.timing import Timing
from hollyspan_entry.daemon import open_agent
from hollyspan_entry.instances import part
from hollyspan_entry.store import open_store
from hollyspan_entry.streams import cancel_stream
from hollyspan_entry.streams import run
from hollyspan_entry.streams import run_stream
from hollyspan_entry.upstreams import call
from hollyspan_entry.upstreams import Upstream
from hollyspan_entry.upstreams import UpstreamRegistry
from hollyspan_standins.deployment import choose_loopback_address
from hollyspan_standins.scripted import EndlessServer
from hollyspan_standins.scripted import ScriptedAnswer
from hollyspan_standins.scripted import ScriptedServer

LONG_S = 60.0
BLOCK = b"x" * 65_536
HEAD = b"HTTP/1.1 200 OK\r\n"
ENDLESS_LENGTH = b"Content-Length: 10000000000000\r\n\r\n"
IN_CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = HEAD + b"Content-Type: text/event-stream\r\n"
CHUNK = b"%x\r\n%b\r\n" % (len(BLOCK), BLOCK)
ONE_BYTE_CHUNKS = b"1\r\n:\r\n" * 10_000
BODIES = {
    "with a length": (HEAD + ENDLESS_LENGTH, BLOCK),
    "until close": (HEAD + b"\r\n", BLOCK),
    "in chunks": (HEAD + IN_CHUNKS, CHUNK),
    "in chunks of one byte": (HEAD + IN_CHUNKS, ONE_BYTE_CHUNKS),
    "of an error": (b"HTTP/1.1 500 Error\r\n" + ENDLESS_LENGTH, BLOCK),
}
HEADS = {
    "fields": (HEAD, b"X-Field: x\r\n" * 5000),
    "informational": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2000),
}


def encode_event(number):
    return b'id: %d\ndata: {"n": %d}\n\n' % (number, number)


def encode_chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


class EndlessAnswerTest(unittest.TestCase):
    timeout = 30

    def setUp(self):
        agent = open_agent(reactor, timeout=2.0)
        self.runtime = types.SimpleNamespace(
            agent=agent.__enter__(),
            reactor=reactor,
            upstreams=UpstreamRegistry(),
            settings=types.SimpleNamespace(
                timing=Timing(connect_timeout=LONG_S, order_timeout=LONG_S),
                instances_url=None,
            ),
        )
        self.addCleanup(agent.__exit__, None, None, None)
        self.patch(part, "REQUEST_TIMEOUT_S", LONG_S)
        self.cancelled = []
        self.patch(
            run, "send_cancel", lambda _, **names: self.cancelled.append(names)
        )

    def listen(self, server):
        """Listen with a server; return the Upstream that leads there."""
        address = choose_loopback_address()
        port = reactor.listenTCP(0, server, interface=address)
        self.addCleanup(port.stopListening)
        self.addCleanup(server.close)
        return Upstream(
            name=f"u-{address}",
            kind="engine",
            service="s",
            data_centre="a",
            address=address,
            port=port.getHost().port,
            slots=1,
        )

    def flood(self, answer):
        """Start an endless server; return it and its Upstream."""
        server = EndlessServer(start=answer[0], block=answer[1])
        return server, self.listen(server)

    async def send(self, upstream):
        response = await call.open_response(
            runtime=self.runtime,
            upstream=upstream,
            method=b"POST",
            path="/x",
            headers={},
            body=b"{}",
            timeout=LONG_S,
        )
        return await call.read_content(
            response, runtime=self.runtime, upstream=upstream, timeout=LONG_S
        )

    async def stream(self, upstream, on_event, **options):
        await run_stream(
            runtime=self.runtime,
            upstream=upstream,
            path="/v1/completions",
            body={},
            stream_id="s",
            key="k",
            request_class="online",
            on_event=on_event,
            idle_timeout=LONG_S,
            max_initial_resumes=0,
            **options,
        )

    async def assert_fails(self, work, error):
        return await self.assertFailure(defer.ensureDeferred(work), error)

    async def assert_closed(self, server):
        """Check that all connections of a server are closed soon."""
        while any(connection.is_open for connection in server.connections):
            await wait_briefly()

    def open_store(self, upstream):
        return open_store(
            url=upstream.url,
            reactor=reactor,
            timeout=LONG_S,
            create_token=lambda: os.urandom(16),
        )

    # Failure: 64 MB were kept of each body.
    async def test_bodies(self):
        for answer in BODIES.values():
            server, upstream = self.flood(answer)
            await self.assert_fails(
                self.send(upstream), UpstreamUnavailableError
            )
            await self.assert_closed(server)

    # Failure: fields were kept until the timeout of the call.
    async def test_heads(self):
        for answer in HEADS.values():
            server, upstream = self.flood(answer)
            await self.assert_fails(
                self.send(upstream), UpstreamUnavailableError
            )
            await self.assert_closed(server)

    # Failure: 64 MB were kept of each report.
    async def test_reports(self):
        for answer in BODIES.values():
            server, upstream = self.flood(answer)
            await self.assert_fails(
                call.fetch_json(
                    runtime=self.runtime,
                    upstream=upstream,
                    path="/health",
                    timeout=LONG_S,
                ),
                UpstreamUnavailableError,
            )
            await self.assert_closed(server)

    # Failure: answers to orders were read whole.
    async def test_answers_to_orders(self):
        for answer in BODIES.values():
            server, upstream = self.flood(answer)
            offset = await cancel_stream(
                runtime=self.runtime, upstream=upstream, stream_id="s"
            )
            self.assertIs(offset, None)
            self.assertEqual(len(server.connections), 1)
            await self.assert_closed(server)

    # Failure: the list was read whole and measured afterwards.
    async def test_instance_lists(self):
        for answer in BODIES.values():
            server, upstream = self.flood(answer)
            self.runtime.settings.instances_url = upstream.url
            await self.assert_fails(
                part.fetch_list(self.runtime), InstanceListError
            )
            await self.assert_closed(server)

    # Failure: answers of the store were read whole.
    async def test_answers_of_the_store(self):
        for answer in BODIES.values():
            server, upstream = self.flood(answer)
            with self.open_store(upstream) as store:
                await self.assert_fails(store.get("a"), StoreUnavailableError)
            self.assertEqual(len(server.connections), 1)
            await self.assert_closed(server)

    # Failure: a line was kept without a limit and joined for each read.
    async def test_watches(self):
        for answer in BODIES.values():
            server, upstream = self.flood(answer)
            lost = defer.Deferred()
            with self.open_store(upstream) as store:
                store.watch(
                    "a",
                    on_event=self.fail,
                    on_lost=lambda lost=lost: lost.callback(None),
                )
                await lost
                await self.assert_closed(server)

    # Failure: chunks of one byte were read as long as they came.
    async def test_streams_in_chunks_of_one_byte(self):
        answer = (EVENTS + IN_CHUNKS, ONE_BYTE_CHUNKS)
        server, upstream = self.flood(answer)
        sound = self.start_sound_engine(events=400)
        numbers = []
        flooded = self.assert_fails(
            self.stream(upstream, self.fail), StreamMalformedError
        )
        served = self.stream(
            sound, lambda number, data: numbers.append(number)
        )
        await defer.gatherResults(
            [defer.ensureDeferred(flooded), defer.ensureDeferred(served)]
        )
        self.assertEqual(numbers, list(range(1, 401)))

    # Failure: comments were read as long as they came.
    async def test_streams_of_comments(self):
        server, upstream = self.flood((EVENTS + b"\r\n", b":\n\n" * 20_000))
        await self.assert_fails(
            self.stream(upstream, self.fail), StreamMalformedError
        )
        await self.assert_closed(server)

    # Failure: the events of an answer were kept without a limit.
    async def test_events_that_are_kept(self):
        data = b"x" * 900_000
        events = [
            b"id: %d\ndata: %b\n\n" % (number, data) for number in range(1, 40)
        ]
        server = ScriptedServer(
            answers=[
                ScriptedAnswer(content=EVENTS + b"\r\n" + b"".join(events))
            ]
        )
        kept = []
        await self.assert_fails(
            self.stream(
                self.listen(server), lambda number, data: kept.append(data)
            ),
            StreamMalformedError,
        )
        self.assertLessEqual(sum(map(len, kept)), 16_000_000)
        self.assertEqual(len(self.cancelled), 1)

    # Failure: bytes behind the end of a stream were read as long as they
    # came.
    async def test_bytes_behind_a_complete_stream(self):
        start = EVENTS + b"\r\n" + encode_event(1) + b"data: [DONE]\n\n"
        server, upstream = self.flood((start, b":\n\n" * 20_000))
        numbers = []
        await self.stream(
            upstream, lambda number, data: numbers.append(number)
        )
        self.assertEqual(numbers, [1])
        await self.assert_closed(server)

    def start_sound_engine(self, *, events):
        """Start an engine that sends each event in a chunk of its own."""
        chunks = [encode_chunk(encode_event(n + 1)) for n in range(events)]
        end = encode_chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n"
        content = EVENTS + IN_CHUNKS + b"".join(chunks) + end
        return self.listen(
            ScriptedServer(answers=[ScriptedAnswer(content=content)])
        )

    async def test_streams_of_one_event_a_chunk_are_served_whole(self):
        sound = self.start_sound_engine(events=1000)
        numbers = [[] for _ in range(16)]
        await defer.gatherResults(
            [
                defer.ensureDeferred(
                    self.stream(
                        sound, lambda number, data, to=to: to.append(number)
                    )
                )
                for to in numbers
            ]
        )
        for received in numbers:
            self.assertEqual(received, list(range(1, 1001)))


def wait_briefly():
    done = defer.Deferred()
    reactor.callLater(0.01, done.callback, None)
    return done
