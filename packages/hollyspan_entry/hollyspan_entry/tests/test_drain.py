"""Tests of the planned stop."""

import contextlib
import json
import socket
import time
import types

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest
from twisted.web import resource
from twisted.web import static

from hollyspan_core.errors import DrainingError
from hollyspan_core.errors import Outcome
from hollyspan_core.settings.timing import Timing
from hollyspan_entry.drain import drain
from hollyspan_entry.drain import QUIET_S
from hollyspan_entry.http import AsyncResource
from hollyspan_entry.http import DrainingSite
from hollyspan_entry.stopping import require_finishable

NOTICE_S = 0.3
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
HELD = REQUEST.replace(b"/", b"/held", 1)
STILL = REQUEST.replace(b"/", b"/still", 1)


class DrainTest(unittest.TestCase):
    timeout = 20

    def setUp(self):
        root = resource.Resource()
        root.putChild(b"", static.Data(b"whole", "text/plain"))
        root.putChild(b"late", AsyncResource(handle=wait_for_ever))
        root.putChild(b"begun", AsyncResource(handle=begin_and_wait))
        root.putChild(b"held", AsyncResource(handle=self.hold))
        root.putChild(b"still", AsyncResource(handle=self.stand_still))
        self.released = defer.Deferred()
        self.callers = []
        self.sent_in_turn = REQUEST
        self.site = DrainingSite(root)
        self.port = reactor.listenTCP(0, self.site, interface="127.0.0.1")
        self.address = ("127.0.0.1", self.port.getHost().port)
        self.addCleanup(self.port.stopListening)
        self.runtime = types.SimpleNamespace(
            reactor=reactor,
            settings=types.SimpleNamespace(
                timing=Timing(drain_notice=NOTICE_S, drain_limit=5.0)
            ),
            drain_listeners=[],
            drain_hooks=[],
            draining=False,
        )

    def start(self):
        return defer.ensureDeferred(
            drain(self.runtime, site=self.site, port=self.port)
        )

    def connect(self, request=REQUEST):
        connection = socket.create_connection(self.address, timeout=5.0)
        self.addCleanup(connection.close)
        connection.sendall(request)
        return connection

    async def test_requests_sent_while_the_daemon_stood_still_are_answered(
        self,
    ):
        connections = []
        work = self.start()
        # These come in the same turn of the loop as the end of the notice.
        reactor.callLater(
            NOTICE_S - 0.05,
            lambda: connections.extend(self.connect() for _ in range(5)),
        )
        await task.deferLater(reactor, NOTICE_S / 2)
        time.sleep(NOTICE_S)
        await work
        self.assertEqual(len(connections), 5)
        for connection in connections:
            self.assertIn(b"whole", read_all(connection))

    # Failure: connections that came while the loop was held were reset.
    async def test_connections_before_the_end_of_listening_are_answered(self):
        callers = []
        started = reactor.seconds()

        async def stand_still(request, path):
            callers.extend(self.connect() for _ in range(5))
            time.sleep(0.1)

        self.site.resource.putChild(b"now", AsyncResource(handle=stand_still))
        holder = self.connect(request=b"")
        work = self.start()
        await task.deferLater(reactor, NOTICE_S + QUIET_S + 0.02)
        self.assertLess(reactor.seconds() - started, NOTICE_S + QUIET_S + 0.04)
        holder.sendall(REQUEST.replace(b"/", b"/now", 1))
        await work
        self.assertEqual(len(callers), 5)
        for caller in callers:
            self.assertIn(b"whole", read_all(caller))

    async def test_requests_that_come_late_one_after_the_other_are_answered(
        self,
    ):
        work = self.start()
        await task.deferLater(reactor, NOTICE_S - 0.05)
        for _ in range(3):
            connection = self.connect()
            await task.deferLater(reactor, 0.1)
            self.assertIn(b"whole", read_all(connection))
        await work

    async def test_a_new_connection_is_left_time_for_its_request(self):
        work = self.start()
        accepted = []
        while self.port.connected:
            count = self.site.accepted
            with contextlib.suppress(ConnectionRefusedError):
                connection = self.connect(request=b"")
                await task.deferLater(reactor, 0.02)
                if self.site.accepted > count:
                    accepted.append(connection)
        accepted[-1].sendall(REQUEST)
        await work
        self.assertIn(b"whole", read_all(accepted[-1]))

    async def hold(self, request, path):
        """Answer in two parts."""
        request.write(b"part")
        await self.released

    async def stand_still(self, request, path):
        """Hold the loop, in which callers send requests."""
        for caller in self.callers:
            caller.sendall(self.sent_in_turn)
        time.sleep(2 * NOTICE_S)

    # Failure: a whole request behind a stream got no answer at a stop.
    async def test_requests_behind_a_stream_are_answered_at_a_stop(self):
        connection = self.connect(request=HELD)
        await task.deferLater(reactor, 0.05)
        connection.sendall(REQUEST + REQUEST)
        work = self.start()
        while self.port.connected:
            await task.deferLater(reactor, 0.01)
        await task.deferLater(reactor, 2 * NOTICE_S)
        self.released.callback(None)
        await work
        answer = read_all(connection)
        self.assertEqual(answer.count(b"HTTP/1.1 200 OK\r\n"), 3)
        self.assertEqual(answer.lower().count(b"connection: close\r\n"), 1)

    # Failure: a whole request behind the answer that a stop had made the last
    # one got neither an answer nor a refusal.
    async def test_requests_behind_the_last_answer_are_refused(self):
        self.site.is_closing = True
        connection = self.connect(request=HELD)
        await task.deferLater(reactor, 0.05)
        connection.sendall(REQUEST + REQUEST)
        work = self.start()
        reactor.callLater(NOTICE_S, self.released.callback, None)
        await work
        answer = read_all(connection)
        self.assertEqual(answer.count(b"HTTP/1.1 503 "), 2)
        self.assertEqual(answer.lower().count(b"\r\nretry-after: "), 2)

    # Failure: connections were closed before what had come on them was read.
    async def test_requests_that_come_while_the_loop_is_held_are_answered(
        self,
    ):
        self.callers = [self.connect(request=b"") for _ in range(5)]
        holder = self.connect(request=b"")
        work = self.start()
        while self.port.connected:
            await task.deferLater(reactor, 0.01)
        await task.deferLater(reactor, 0.05)
        holder.sendall(STILL)
        await work
        for caller in self.callers:
            self.assertIn(b"whole", read_all(caller))

    # Failure: an idle connection timed out before its request was read.
    async def test_a_request_on_a_connection_that_times_out_is_answered(self):
        self.site.timeOut = NOTICE_S
        self.callers = [self.connect(request=b"")]
        await task.deferLater(reactor, NOTICE_S / 2)
        self.connect(request=STILL)
        await task.deferLater(reactor, 4 * NOTICE_S)
        self.assertIn(b"whole", read_all(self.callers[0]))

    # Failure: a connection was kept for ever whose time had run out beside a
    # part of a request.
    async def test_a_part_of_a_request_at_the_time_out_is_not_kept(self):
        self.sent_in_turn = b"GET / HT"
        self.site.timeOut = NOTICE_S
        self.callers = [self.connect(request=b"")]
        await task.deferLater(reactor, NOTICE_S / 2)
        self.connect(request=STILL)
        await task.deferLater(reactor, 6 * NOTICE_S)
        self.assertEqual(read_all(self.callers[0]), b"")

    async def stop_with_request(self, path):
        """Stop while a request is answered; return what its caller reads."""
        self.runtime.settings.timing.drain_limit = 0.2
        connection = self.connect(
            request=b"POST %b HTTP/1.1\r\nHost: h\r\n\r\n" % path
        )
        await task.deferLater(reactor, 0.1)
        await self.start()
        await task.deferLater(reactor, 0.1)
        return read_all(connection)

    # Failure: connections were cut without an answer at the drain limit.
    async def test_a_request_that_is_left_at_the_limit_is_answered(self):
        answer = await self.stop_with_request(b"/late")
        head, _, body = answer.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 502 "), answer)
        error = json.loads(body)["error"]
        self.assertEqual(error["outcome"], "unknown")
        self.assertEqual(error["code"], "instance_stopped")
        self.assertNotIn(b"retry-after", head.lower())

    async def test_an_answer_that_has_begun_is_broken_off_at_the_limit(self):
        try:
            answer = await self.stop_with_request(b"/begun")
        except ConnectionResetError:
            return
        self.assertNotIn(b"\r\n0\r\n\r\n", answer)

    async def test_a_request_that_may_outlast_the_stop_is_refused(self):
        timing = self.runtime.settings.timing
        now = time.monotonic()
        self.runtime.stops_at = None
        require_finishable(self.runtime, deadline=now + 3600.0)
        work = self.start()
        for seconds in (0.0, timing.drain_limit - 1.0):
            require_finishable(self.runtime, deadline=now + seconds)
        with self.assertRaises(DrainingError) as raised:
            require_finishable(
                self.runtime,
                deadline=now + timing.drain_notice + timing.drain_limit,
            )
        self.assertIs(raised.exception.outcome, Outcome.NOT_RUN)
        self.assertGreater(raised.exception.retry_after, 0)
        await work

    async def test_the_stop_does_not_wait_for_ever(self):
        work = self.start()
        started = time.monotonic()
        with contextlib.suppress(ConnectionRefusedError):
            while time.monotonic() - started < 10 * NOTICE_S:
                self.connect().close()
                await task.deferLater(reactor, 0.02)
            self.fail("new connections were accepted all the time")
        await work


async def wait_for_ever(request, path):
    await defer.Deferred()


async def begin_and_wait(request, path):
    request.write(b"begun")
    await defer.Deferred()


def read_all(connection):
    chunks = []
    while chunk := connection.recv(4096):
        chunks.append(chunk)
    return b"".join(chunks)
