"""Tests of the planned stop."""

import contextlib
import socket
import time
import types

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest
from twisted.web import static

from hollyspan_core.settings.timing import Timing
from hollyspan_entry.drain import drain
from hollyspan_entry.http.site import DrainingSite

NOTICE_S = 0.3
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class DrainTest(unittest.TestCase):
    timeout = 20

    def setUp(self):
        root = static.Data(b"whole", "text/plain")
        root.isLeaf = True
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

    async def test_the_stop_does_not_wait_for_ever(self):
        work = self.start()
        started = time.monotonic()
        with contextlib.suppress(ConnectionRefusedError):
            while time.monotonic() - started < 10 * NOTICE_S:
                self.connect().close()
                await task.deferLater(reactor, 0.02)
            self.fail("new connections were accepted all the time")
        await work


def read_all(connection):
    chunks = []
    while chunk := connection.recv(4096):
        chunks.append(chunk)
    return b"".join(chunks)
