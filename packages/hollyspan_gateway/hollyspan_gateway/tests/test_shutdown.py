"""Tests of the graceful shutdown of a gateway."""

import socket
import time
import types

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest

from hollyspan_gateway import daemon
from hollyspan_gateway.online.server import ClientSite

DETECTION_S = 0.3
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class ShutdownTest(unittest.TestCase):
    timeout = 20

    def setUp(self):
        self.patch(daemon, "BALANCER_DETECTION_S", DETECTION_S)
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
        gateway = types.SimpleNamespace(
            site=self.site,
            worker=None,
            forwarding=types.SimpleNamespace(running=0),
            settings=types.SimpleNamespace(grace_seconds=8.0),
            drain=lambda: None,
            peers=types.SimpleNamespace(
                list_live=lambda: [], send_full=lambda peers: None
            ),
        )
        self.shutdown = daemon.Shutdown(
            reactor=types.SimpleNamespace(
                callLater=reactor.callLater,
                seconds=reactor.seconds,
                stop=self.stop,
            ),
            gateway=gateway,
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

    async def test_a_new_connection_is_left_time_for_its_request(self):
        self.shutdown.begin()
        await task.deferLater(reactor, DETECTION_S - 0.02)
        connection = self.connect()
        await task.deferLater(reactor, 0.2)
        connection.sendall(REQUEST)
        await self.stopped
        self.assertIn(b"whole", read_all(connection))

    async def test_idle_connections_do_not_delay_the_end(self):
        connections = [self.connect() for _ in range(3)]
        await task.deferLater(reactor, 0.6)
        started = time.monotonic()
        self.shutdown.begin()
        await self.stopped
        self.assertLess(time.monotonic() - started, 8.0)
        for connection in connections:
            self.assertEqual(read_all(connection), b"")


def read_all(connection):
    chunks = []
    while chunk := connection.recv(4096):
        chunks.append(chunk)
    return b"".join(chunks)
