"""Tests of refusals of requests that have not been read, on sockets."""

import socket
import time

from twisted.internet import reactor
from twisted.internet import task
from twisted.internet import threads
from twisted.trial import unittest

from hollyspan_gateway.online.channel import ClientChannel
from hollyspan_gateway.online.server import ClientSite

MIB = 1024 * 1024
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"


class RefusalTest(unittest.TestCase):
    timeout = 20

    def setUp(self):
        self.site = ClientSite(
            reactor=reactor,
            handle=lambda request: request.answer(200, [], bytes(4 * MIB)),
            body_limit=100,
            idle_seconds=10.0,
        )
        self.port = reactor.listenTCP(0, self.site, interface="127.0.0.1")
        self.address = ("127.0.0.1", self.port.getHost().port)
        self.addCleanup(self.port.stopListening)

    async def ask(self, *parts):
        """Return what a client reads that has sent bytes before.

        A number among the parts is a pause in seconds, None the end of what
        it sends.
        """
        answer = await threads.deferToThread(self.send, *parts)
        while self.site.channels:
            await task.deferLater(reactor, 0.01)
        return answer

    def send(self, *parts):
        with socket.create_connection(self.address, timeout=5.0) as connection:
            for part in parts:
                if part is None:
                    connection.shutdown(socket.SHUT_WR)
                elif isinstance(part, float):
                    time.sleep(part)
                else:
                    connection.sendall(part)
            received = b""
            while chunk := connection.recv(65536):
                received += chunk
            return received

    # Failure: a refusal was overtaken by a reset while its client still sent.
    async def test_a_refusal_reaches_a_client_that_sends(self):
        size = 16 * MIB
        answer = await self.ask(HEAD % size, bytes(size))
        self.assertIn(b"HTTP/1.1 413 ", answer)

    # Failure: a refusal or a last answer was dropped when its client had ended
    # its direction.
    async def test_a_refusal_reaches_a_client_that_has_sent_all(self):
        size = MIB + 1_000
        answer = await self.ask(HEAD % size, bytes(size), None)
        self.assertIn(b"HTTP/1.1 413 ", answer)

    async def test_the_last_answer_reaches_a_client_that_has_sent_all(self):
        self.site.begin_closing()
        answer = await self.ask(REQUEST, 0.1, None, 0.1)
        self.assertIn(bytes(4 * MIB), answer)

    # Failure: idle connections whose clients did not read were kept for ever.
    async def test_an_idle_client_that_does_not_read_is_dropped(self):
        self.patch(ClientChannel, "abortTimeout", 0.1)
        self.site.timeOut = 0.1
        self.site.handle = lambda request: request.answer(
            200, [], bytes(50_000)
        )
        self.port.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.addCleanup(connection.close)
        connection.connect(self.address)
        connection.sendall(REQUEST)
        await task.deferLater(reactor, 0.1)
        while self.site.channels:
            await task.deferLater(reactor, 0.01)

    async def test_the_last_answer_in_a_stop_is_read_whole(self):
        self.site.begin_closing()
        answer = await self.ask(REQUEST, HEAD % (3 * MIB) + bytes(2 * MIB))
        self.assertIn(bytes(4 * MIB), answer)

    async def test_a_client_that_neither_reads_nor_closes_is_dropped(self):
        self.patch(ClientChannel, "abortTimeout", 0.1)
        self.site.begin_closing()
        connection = socket.create_connection(self.address, timeout=5.0)
        self.addCleanup(connection.close)
        connection.sendall(REQUEST + HEAD % MIB)
        await task.deferLater(reactor, 0.1)
        (channel,) = self.site.channels
        channel.end_slow()
        while self.site.channels:
            await task.deferLater(reactor, 0.01)
