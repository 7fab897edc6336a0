"""Tests of tracking notices until they are answered."""

import pytest
from twisted.internet import task

from hollyspan_entry.peers.pending_notices import ANSWER_TIMEOUT_S
from hollyspan_entry.peers.pending_notices import PendingNotices
from hollyspan_entry.peers.pending_notices import RESEND_DELAY_S


class Sender:
    """Sends notices to the daemon `b` and records resends and timeouts."""

    def __init__(self):
        self.clock = task.Clock()
        self.sent = []
        self.timed_out = []
        self.pending_notices = PendingNotices(
            reactor=self.clock,
            on_timeout=lambda *found: self.timed_out.append(found),
        )

    def send_notice(self, sequence):
        """Send one notice."""
        self.pending_notices.send_notice(
            "b",
            sequence=sequence,
            upstreams=["e1"],
            send=lambda: self.sent.append(sequence),
        )

    def wait(self):
        """Advance the clock beyond the answer timeout."""
        self.clock.pump([RESEND_DELAY_S, ANSWER_TIMEOUT_S, 0])


@pytest.fixture(name="sender")
def make_sender():
    return Sender()


def test_notice_is_resent_and_times_out(sender):
    sender.send_notice(1)
    sender.wait()
    assert sender.sent == [1, 1]
    assert sender.timed_out == [("b", "e1")]
    assert not sender.pending_notices.by_sequence


def test_answer_covers_earlier_notices_only(sender):
    for sequence in (1, 2, 3):
        sender.send_notice(sequence)
    sender.pending_notices.confirm("b", sequence=2)
    sender.wait()
    assert sender.sent == [1, 2, 3, 3]
    assert len(sender.timed_out) == 1


def test_answer_of_other_daemon_is_ignored(sender):
    sender.send_notice(1)
    sender.pending_notices.confirm("c", sequence=1)
    sender.wait()
    assert sender.timed_out


def test_stop_discards_pending_notices(sender):
    sender.send_notice(1)
    sender.pending_notices.stop()
    sender.wait()
    assert sender.timed_out == []
