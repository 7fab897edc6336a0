"""Requests whose connection to the only upstream is reset."""

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest

from hollyspan_core.errors import HollyspanError
from hollyspan_entry.online.service import answer_request
from hollyspan_standins.scripted import Ending
from hollyspan_standins.scripted import ScriptedAnswer

RESET = ScriptedAnswer(content=b"", ending=Ending.RESET)
UNKNOWN = ScriptedAnswer(
    content=b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
)
FAULT = ScriptedAnswer(
    content=b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
)
WHOLE = ScriptedAnswer(
    content=b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
    b'id: 1\ndata: {"choices": []}\n\ndata: [DONE]\n\n',
    ending=Ending.CLOSE,
)


class OnlyUpstreamTest(unittest.TestCase):
    timeout = 20

    async def play(self, answers, *, streamed=True, idempotent=True):
        """Return the status, the error and the number of attempts."""
        harness = self.create_harness()
        self.addCleanup(lambda: defer.ensureDeferred(harness.close()))
        engine = harness.start_engine(answers)
        sink, code = self.create_sink(), None
        try:
            await answer_request(
                harness.state,
                harness.build_request(
                    streamed=streamed, idempotent=idempotent
                ),
                sink,
            )
        except HollyspanError as error:
            code = error.code
        # Cancellations at the engine go on behind the answer.
        await task.deferLater(reactor, 0.1)
        starts = [each for each in engine.requests if each[0] == "POST"]
        starts = [each for each in starts if not each[1].endswith("/cancel")]
        return sink.status, code, len(starts)

    # Failure: a request that its only upstream had not taken was ended.
    async def test_it_is_sent_again(self):
        for streamed in (True, False):
            played = await self.play(
                [RESET, UNKNOWN, WHOLE], streamed=streamed
            )
            self.assertEqual(played, (200, None, 2))

    async def test_it_is_sent_no_more_often_than_allowed(self):
        played = await self.play([RESET, UNKNOWN] * 5)
        self.assertEqual(played[:2], (None, "stream_lost"))
        self.assertLessEqual(played[2], 3)

    async def test_what_runs_once_is_not(self):
        played = await self.play([RESET, UNKNOWN, WHOLE], idempotent=False)
        self.assertEqual(played[2], 1)

    async def test_an_answer_is_final(self):
        played = await self.play([FAULT])
        self.assertEqual(played[2], 1)
