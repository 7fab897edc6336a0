"""Answers without end to a command."""

from twisted.internet import defer
from twisted.internet import reactor
from twisted.trial import unittest

from hollyspan_operator.client import operator_client
from hollyspan_operator.errors import AnswerTooLargeError
from hollyspan_operator.errors import DaemonUnreachableError
from hollyspan_standins.deployment import choose_loopback_address
from hollyspan_standins.scripted import EndlessServer
from hollyspan_standins.scripted import ScriptedAnswer
from hollyspan_standins.scripted import ScriptedServer

HEAD = b"HTTP/1.1 200 OK\r\n"


class EndlessAnswerTest(unittest.TestCase):
    timeout = 20

    def call(self, server):
        address = choose_loopback_address()
        port = reactor.listenTCP(0, server, interface=address)
        self.addCleanup(port.stopListening)
        self.addCleanup(server.close)
        client = operator_client.OperatorClient(
            url=f"http://{address}:{port.getHost().port}",
            key="k",
            reactor=reactor,
        )
        return defer.ensureDeferred(client.get("status"))

    # Failure: answers were read whole.
    async def test_an_answer_without_end_is_cut(self):
        self.patch(operator_client, "MAX_ANSWER_BYTES", 1_000_000)
        server = EndlessServer(start=HEAD + b"\r\n", block=b"x" * 65_536)
        await self.assertFailure(self.call(server), AnswerTooLargeError)

    # Failure: the time limit ended with the head.
    async def test_an_answer_that_stops_is_given_up(self):
        self.patch(operator_client, "CALL_TIMEOUT_S", 0.3)
        answer = ScriptedAnswer(content=HEAD + b"Content-Length: 9\r\n\r\n{")
        server = ScriptedServer(answers=[answer])
        await self.assertFailure(self.call(server), DaemonUnreachableError)
