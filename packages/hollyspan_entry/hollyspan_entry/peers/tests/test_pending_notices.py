"""Tests of notices that wait for an answer."""

import pytest
from twisted.internet import task

from hollyspan_entry.peers.questions import Questions
from hollyspan_entry.peers.questions import REPEAT_SECONDS
from hollyspan_entry.peers.questions import SILENCE_SECONDS


class Asker:
    """Asks the daemon `b` and notes what happens."""

    def __init__(self):
        self.clock = task.Clock()
        self.sent = []
        self.silent = []
        self.questions = Questions(
            reactor=self.clock,
            on_silent=lambda *found: self.silent.append(found),
        )

    def ask(self, sequence):
        """Send one notice."""
        self.questions.ask(
            "b",
            sequence=sequence,
            upstreams=["e1"],
            send=lambda: self.sent.append(sequence),
        )

    def wait(self):
        """Let the time for an answer pass."""
        self.clock.pump([REPEAT_SECONDS, SILENCE_SECONDS, 0])


@pytest.fixture(name="asker")
def make_asker():
    return Asker()


def test_a_notice_is_sent_again_and_given_up(asker):
    asker.ask(1)
    asker.wait()
    assert asker.sent == [1, 1]
    assert asker.silent == [("b", "e1")]
    assert not asker.questions.waiting


def test_an_answer_covers_earlier_notices_only(asker):
    for sequence in (1, 2, 3):
        asker.ask(sequence)
    asker.questions.take_answer("b", sequence=2)
    asker.wait()
    assert asker.sent == [1, 2, 3, 3]
    assert len(asker.silent) == 1


def test_another_daemon_cannot_answer(asker):
    asker.ask(1)
    asker.questions.take_answer("c", sequence=1)
    asker.wait()
    assert asker.silent


def test_a_stop_ends_the_wait(asker):
    asker.ask(1)
    asker.questions.stop()
    asker.wait()
    assert asker.silent == []
