"""Tests of pipes."""

from twisted.internet.task import Clock

from hollyspan_standins.proxy import Link
from hollyspan_standins.proxy.pipe import Pipe


class PipeHarness:
    """Pipe on a simulated clock that collects its output."""

    def __init__(self):
        self.clock = Clock()
        self.link = Link(name="l", host="h", target=1, reactor=self.clock)
        self.output = []
        self.pipe = Pipe(
            link=self.link,
            write=self.output.append,
            close=lambda: self.output.append("closed"),
        )


def test_data_passes_immediately():
    harness = PipeHarness()
    harness.pipe.push(b"a")
    harness.pipe.push(None)
    assert harness.output == [b"a", "closed"]


def test_removing_a_delay_keeps_the_order():
    harness = PipeHarness()
    harness.link.update({"delay_seconds": 1.0})
    harness.pipe.push(b"a")
    harness.link.update({"delay_seconds": 0})
    harness.pipe.push(b"b")
    harness.pipe.push(None)
    assert harness.output == []
    harness.clock.advance(1.0)
    assert harness.output == [b"a", b"b", "closed"]


def test_frozen_link_holds_data():
    harness = PipeHarness()
    harness.link.update({"freeze": True})
    harness.pipe.push(b"a")
    harness.pipe.push(None)
    harness.clock.advance(100)
    assert harness.output == []
    harness.link.update({"freeze": False})
    assert harness.output == [b"a", "closed"]


def test_discarded_data_is_not_written():
    harness = PipeHarness()
    harness.link.update({"delay_seconds": 1.0})
    harness.pipe.push(b"a")
    harness.pipe.discard()
    harness.clock.advance(2.0)
    assert harness.output == []


def test_dropped_replies_are_counted_down():
    link = PipeHarness().link
    link.update({"drop_replies": 2})
    assert [link.consume_dropped_reply() for _ in range(3)] == [
        True,
        True,
        False,
    ]
    link.update({"drop_replies": True})
    assert all(link.consume_dropped_reply() for _ in range(3))
