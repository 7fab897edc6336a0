"""Tests of the graceful shutdown of a gateway."""

import contextlib
import socket
import time
import types

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.internet import threads
from twisted.python import failure
from twisted.trial import unittest

from hollyspan_core.errors import DrainingError
from hollyspan_core.errors import Outcome
from hollyspan_gateway.online.server import ClientSite
from hollyspan_gateway.shutdown import Shutdown
from hollyspan_gateway.work import WorkInFlight

DETECTION_S = 0.3
WORK_S = 7.6
# Time from the end of the last work to the forced kill.
MAX_EXIT_S = 0.4
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class ShutdownTest(unittest.TestCase):
    timeout = 20

    def setUp(self):
        self.site = ClientSite(
            reactor=reactor,
            handle=lambda request: request.answer(200, [], b"whole"),
            body_limit=100,
            idle_seconds=10.0,
        )
        self.port = reactor.listenTCP(0, self.site, interface="127.0.0.1")
        self.address = ("127.0.0.1", self.port.getHost().port)
        self.addCleanup(self.port.stopListening)
        self.stopped = defer.Deferred()
        self.held = []
        self.work = WorkInFlight()
        self.settings = types.SimpleNamespace(work_seconds=WORK_S)
        gateway = types.SimpleNamespace(
            site=self.site,
            internal_site=None,
            worker=None,
            forwarding=types.SimpleNamespace(running=0),
            settings=self.settings,
            work=self.work,
            drain=lambda: None,
            peers=types.SimpleNamespace(
                list_live=lambda: [], send_full=lambda peers: None
            ),
        )
        self.shutdown = Shutdown(
            reactor=types.SimpleNamespace(
                callLater=reactor.callLater,
                seconds=reactor.seconds,
                stop=self.stop,
            ),
            gateway=gateway,
            detection_seconds=DETECTION_S,
        )

    def stop(self):
        """Close everything as the end of the process does."""
        for channel in list(self.site.channels):
            channel.abortConnection()
        stopped = defer.maybeDeferred(self.port.stopListening)
        stopped.chainDeferred(self.stopped)

    def connect(self):
        connection = socket.create_connection(self.address, timeout=5.0)
        self.addCleanup(connection.close)
        return connection

    async def test_requests_sent_in_the_turn_of_the_last_check_are_answered(
        self,
    ):
        connections = []

        def send_requests():
            for _ in range(5):
                connections.append(self.connect())
                connections[-1].sendall(REQUEST)

        self.shutdown.begin()
        reactor.callLater(DETECTION_S - 0.01, send_requests)
        await task.deferLater(reactor, DETECTION_S / 2)
        time.sleep(DETECTION_S)
        await self.stopped
        self.assertEqual(len(connections), 5)
        for connection in connections:
            self.assertIn(b"whole", read_all(connection))

    # Failure: connections were closed before what had come on them was read.
    async def test_requests_on_kept_connections_in_that_turn_are_answered(
        self,
    ):
        connections = [self.connect() for _ in range(5)]
        await task.deferLater(reactor, 0.6)
        self.shutdown.begin()
        await self.stand_still(connections)
        await self.stopped
        for connection in connections:
            self.assertIn(b"whole", read_all(connection))

    # Failure: an idle connection timed out before its request was read.
    async def test_a_request_on_a_connection_that_times_out_is_answered(self):
        self.site.timeOut = 2 * DETECTION_S
        connection = self.connect()
        await task.deferLater(reactor, 1.5 * DETECTION_S)
        await self.stand_still([connection])
        await task.deferLater(reactor, 2 * DETECTION_S)
        self.assertIn(b"whole", read_all(connection))

    # Failure: connections that came while the loop was held were reset.
    async def test_connections_in_the_turn_of_the_exit_are_answered(self):
        connections = []

        def hold():
            connections.extend(self.connect() for _ in range(5))
            for connection in connections:
                connection.sendall(REQUEST)
            time.sleep(0.1)

        holder = protocol.DatagramProtocol()
        holder.datagramReceived = lambda data, address: hold()
        port = reactor.listenUDP(0, holder, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        self.shutdown.begin()
        while not self.shutdown.was_drained:
            await task.deferLater(reactor, 0.001)
        holder.transport.write(b"x", ("127.0.0.1", port.getHost().port))
        await self.stopped
        self.assertEqual(len(connections), 5)
        for connection in connections:
            self.assertIn(b"whole", read_all(connection))

    # Failure: an answer that a peer had not read yet was cut at the exit.
    async def test_the_answers_to_peers_leave_before_the_exit(self):
        body = bytes(8 * 1024 * 1024)
        site = self.shutdown.gateway.internal_site = ClientSite(
            reactor=reactor,
            handle=lambda request: request.answer(200, [], body),
            body_limit=100,
            idle_seconds=10.0,
        )
        port = reactor.listenTCP(0, site, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        self.address = ("127.0.0.1", port.getHost().port)
        connection = self.connect()
        connection.sendall(REQUEST)
        self.shutdown.begin()
        await task.deferLater(reactor, 2 * DETECTION_S)
        answer = threads.deferToThread(read_bytes, connection, len(body))
        await self.stopped
        for channel in list(site.channels):
            channel.transport.connectionLost(
                failure.Failure(error.ConnectionDone())
            )
        self.assertGreaterEqual(len(await answer), len(body))

    async def stand_still(self, connections):
        """Let requests come, and timers fall due, while data is handled."""

        def handle(request):
            self.site.handle = answer
            for connection in connections:
                connection.sendall(REQUEST)
            time.sleep(DETECTION_S)
            request.answer(200, [], b"")

        answer, self.site.handle = self.site.handle, handle
        self.connect().sendall(REQUEST)
        await task.deferLater(reactor, 1.5 * DETECTION_S)

    async def test_a_new_connection_is_left_time_for_its_request(self):
        self.shutdown.begin()
        await task.deferLater(reactor, DETECTION_S - 0.02)
        connection = self.connect()
        await task.deferLater(reactor, 0.2)
        connection.sendall(REQUEST)
        await self.stopped
        self.assertIn(b"whole", read_all(connection))

    async def test_answers_say_that_the_connection_closes(self):
        connections = [self.connect() for _ in range(2)]
        for connection in connections:
            connection.sendall(REQUEST)
        await task.deferLater(reactor, 0.1)
        for connection in connections:
            self.assertNotIn(b"Connection: close", connection.recv(4096))
        self.shutdown.begin()
        connections[0].sendall(REQUEST)
        await task.deferLater(reactor, 0.1)
        answer = read_all(connections[0])
        self.assertIn(b"Connection: close", answer)
        self.assertIn(b"whole", answer)
        await self.stopped

    async def test_an_answer_that_begins_in_the_stop_says_so_too(self):
        self.site.handle = self.hold
        connection = self.connect()
        connection.sendall(REQUEST)
        await task.deferLater(reactor, 0.1)
        self.shutdown.begin()
        self.held[0].answer(200, [], b"whole")
        await self.stopped
        self.assertIn(b"Connection: close", read_all(connection))

    async def test_the_last_answers_leave_before_the_exit(self):
        self.settings.work_seconds = 0.6
        self.site.handle = self.run_for_ever
        connections = [self.connect() for _ in range(20)]
        for connection in connections:
            connection.sendall(REQUEST)
        await task.deferLater(reactor, 0.2)
        started = time.monotonic()
        self.shutdown.begin()
        await self.stopped
        self.assertLess(time.monotonic() - started, 0.6 + MAX_EXIT_S)
        for connection in connections:
            self.assertTrue(read_all(connection).endswith(b"\r\n\r\nended"))

    async def test_a_begun_answer_does_not_look_complete_at_the_exit(self):
        self.settings.work_seconds = 0.4
        self.site.handle = self.begin_for_ever
        connection = self.connect()
        connection.sendall(REQUEST)
        await task.deferLater(reactor, 0.1)
        self.shutdown.begin()
        await self.stopped
        received = b""
        with contextlib.suppress(ConnectionResetError):
            while chunk := connection.recv(4096):
                received += chunk
        self.assertNotIn(b"\r\n0\r\n\r\n", received)

    def hold(self, request):
        self.held.append(request)

    def run_for_ever(self, request):
        """Answer a request once its work is ended."""
        defer.ensureDeferred(self.answer_ended(request))

    async def answer_ended(self, request):
        try:
            await self.work.run(
                defer.Deferred(), find_outcome=lambda: Outcome.UNKNOWN
            )
        except DrainingError:
            request.answer(502, [], b"ended")

    def begin_for_ever(self, request):
        """Begin an answer, which is broken off once its work is ended."""
        request.begin(200, [])
        request.write(b"part")
        defer.ensureDeferred(self.abort_ended(request))

    async def abort_ended(self, request):
        try:
            await self.work.run(
                defer.Deferred(), find_outcome=lambda: Outcome.UNKNOWN
            )
        except DrainingError:
            request.abort()

    async def test_idle_connections_do_not_delay_the_end(self):
        connections = [self.connect() for _ in range(3)]
        await task.deferLater(reactor, 0.6)
        started = time.monotonic()
        self.shutdown.begin()
        await self.stopped
        self.assertLess(time.monotonic() - started, 8.0)
        for connection in connections:
            self.assertEqual(read_all(connection), b"")


def read_bytes(connection, size):
    received = bytearray()
    while len(received) < size and (chunk := connection.recv(65536)):
        received += chunk
    return received


def read_all(connection):
    chunks = []
    while chunk := connection.recv(4096):
        chunks.append(chunk)
    return b"".join(chunks)
