import json
import socket

from twisted.internet import defer
from twisted.internet import error as network_error
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import StreamMalformedError
from hollyspan_core.errors import UpstreamAnswerError
from hollyspan_core.errors import UpstreamLeavingError
from hollyspan_core.errors import UpstreamUnavailableError
from hollyspan_entry.streams import assemble_answer
from hollyspan_entry.streams import cancel_stream
from hollyspan_entry.streams import run_stream

PATH = "/v1/chat/completions"


class RunStreamTest(unittest.TestCase):
    def setUp(self):
        self.harness = self.create_harness()
        self.addCleanup(self.close)
        self.events = []

    def close(self):
        return defer.ensureDeferred(self.harness.close())

    def start_stream(self, upstream, **details):
        return defer.ensureDeferred(
            run_stream(
                runtime=self.harness.runtime,
                upstream=upstream,
                path=PATH,
                body={"model": "m"},
                stream_id="s",
                key="online/1",
                request_class="online",
                on_event=lambda *event: self.events.append(event),
                **{"idle_timeout": 2.0, **details},
            )
        )

    def get_offsets(self):
        return [offset for offset, _ in self.events]

    async def test_whole_stream(self):
        engine, upstream = self.harness.start()
        await self.start_stream(upstream)
        self.assertEqual(self.get_offsets(), [1, 2, 3, 4, 5])
        answer = assemble_answer([d for _, d in self.events], path=PATH)
        content = answer["choices"][0]["message"]["content"]
        self.assertEqual(content, "t0 t1 t2 t3 t4 ")
        self.assertTrue(json.loads(engine.bodies[0])["stream"])

    async def test_breaks_are_resumed_at_the_offset(self):
        engine, upstream = self.harness.start(break_offsets=[2, 4])
        await self.start_stream(upstream)
        self.assertEqual(self.get_offsets(), [1, 2, 3, 4, 5])
        self.assertEqual(
            engine.calls,
            [
                ("POST", PATH),
                ("GET", "/v1/streams/s?offset=2"),
                ("GET", "/v1/streams/s?offset=4"),
            ],
        )

    async def test_break_before_the_answer_is_resumed_not_restarted(self):
        engine, upstream = self.harness.start(break_offsets=[0])
        await self.start_stream(upstream)
        self.assertEqual([m for m, _ in engine.calls], ["POST", "GET"])
        self.assertEqual(self.get_offsets(), [1, 2, 3, 4, 5])

    async def test_resume_at_an_offset(self):
        engine, upstream = self.harness.start()
        await self.start_stream(upstream, offset=3)
        self.assertEqual(self.get_offsets(), [4, 5])
        self.assertEqual([m for m, _ in engine.calls], ["GET"])

    async def test_refused_connection(self):
        _, upstream = self.harness.start()
        await self.harness.close()
        error = await self.assertFailure(
            self.start_stream(upstream), UpstreamUnavailableError
        )
        self.assertIs(error.outcome, Outcome.NOT_RUN)
        self.assertFalse(upstream.reachable)

    async def test_leaving(self):
        headers = {b"x-upstream-state": b"leaving"}
        _, upstream = self.harness.start(error_answer=(503, b"{}", headers))
        error = await self.assertFailure(
            self.start_stream(upstream), UpstreamLeavingError
        )
        self.assertIs(error.outcome, Outcome.NOT_RUN)
        self.assertTrue(upstream.leaving)

    async def test_error_answer(self):
        _, upstream = self.harness.start(error_answer=(400, b"{}", {}))
        error = await self.assertFailure(
            self.start_stream(upstream), UpstreamAnswerError
        )
        self.assertEqual((error.upstream_status, error.body), (400, b"{}"))
        self.assertIs(error.outcome, Outcome.UNKNOWN)

    async def test_unknown_stream(self):
        _, upstream = self.harness.start(error_answer=(404, b"{}", {}))
        await self.assertFailure(
            self.start_stream(upstream, offset=2), StreamLostError
        )

    async def test_error_in_mid_stream(self):
        engine, upstream = self.harness.start()
        engine.events[2] = b'{"error": {"message": "m"}}'
        error = await self.assertFailure(
            self.start_stream(upstream), UpstreamAnswerError
        )
        self.assertEqual(error.upstream_status, 200)
        self.assertEqual(self.get_offsets(), [1, 2])

    async def test_missing_events(self):
        engine, upstream = self.harness.start()
        engine.send = lambda request, offset: request.write(
            b"id: 1\ndata: a\n\nid: 3\ndata: b\n\n"
        )
        await self.assertFailure(
            self.start_stream(upstream), StreamMalformedError
        )
        self.assertEqual(self.get_offsets(), [1])
        await task.deferLater(reactor, 0.1)
        self.assertIn(("POST", "/v1/streams/s/cancel"), engine.calls)

    async def test_cancelled_deferred_cancels_at_the_engine(self):
        engine, upstream = self.harness.start(silent=True)
        work = self.start_stream(upstream)
        await task.deferLater(reactor, 0.1)
        work.cancel()
        await self.assertFailure(work, defer.CancelledError)
        await task.deferLater(reactor, 0.1)
        self.assertIn(("POST", "/v1/streams/s/cancel"), engine.calls)

    async def test_idle_connection_is_resumed(self):
        engine, upstream = self.harness.start(silent=True)
        work = self.start_stream(upstream, idle_timeout=0.2)
        await task.deferLater(reactor, 0.1)
        engine.silent = False
        await work
        self.assertEqual(engine.calls[1], ("GET", "/v1/streams/s?offset=5"))
        self.assertEqual(self.get_offsets(), [1, 2, 3, 4, 5])

    async def test_queued_stream_is_resumed_until_it_starts(self):
        """Resume while the engine answers each time but has no event yet."""
        engine, upstream = self.harness.start(silent=True)
        send = engine.send
        engine.send = lambda request, offset: request.write(b"")
        work = self.start_stream(
            upstream, idle_timeout=0.2, max_initial_resumes=1
        )
        await task.deferLater(reactor, 0.9)
        engine.silent = False
        engine.send = send
        await work
        self.assertEqual(self.get_offsets(), [1, 2, 3, 4, 5])

    async def test_resume_is_answered_later_than_an_event_is_awaited(self):
        """Resume at an engine whose heads take longer than the idle time.

        Failure: the stream counted as lost on a busy machine.
        """
        engine, upstream = self.harness.start(silent=True)
        send = engine.send

        def send_late(request, offset):
            if request.method == b"POST":
                request.write(b"")
                return
            engine.silent = False
            reactor.callLater(0.4, send, request, offset)

        engine.send = send_late
        await self.start_stream(
            upstream, idle_timeout=0.2, max_initial_resumes=1
        )
        self.assertEqual(self.get_offsets(), [1, 2, 3, 4, 5])

    async def test_unreachable_engine_raises_stream_lost(self):
        engine, upstream = self.harness.start(break_offsets=[2] + [0] * 9)
        error = await self.assertFailure(
            self.start_stream(upstream), StreamLostError
        )
        self.assertIs(error.outcome, Outcome.UNKNOWN)
        self.assertEqual(self.get_offsets(), [1, 2])
        self.assertEqual([m for m, _ in engine.calls], ["POST"] + ["GET"] * 5)

    async def test_an_engine_gets_no_calls_meant_for_another_program(self):
        # A daemon of another test goes on calling an engine that has ended.
        claimed = socket.socket()
        self.addCleanup(claimed.close)
        # No other program listens at this port of the usual address.
        claimed.bind(("127.0.0.1", 0))
        engine, upstream = self.harness.start(
            port=claimed.getsockname()[1], break_offsets=[2] + [0] * 9
        )
        url = f"http://127.0.0.1:{upstream.port}/v1/streams/other?offset=0"
        for _ in range(5):
            await self.assertFailure(
                self.harness.runtime.agent.request(b"GET", url.encode()),
                network_error.ConnectionRefusedError,
            )
        await self.assertFailure(self.start_stream(upstream), StreamLostError)
        self.assertEqual(len(engine.calls), 6)

    async def test_cancel_stream(self):
        _, upstream = self.harness.start()
        offset = await cancel_stream(
            runtime=self.harness.runtime, upstream=upstream, stream_id="s"
        )
        self.assertEqual(offset, 2)
