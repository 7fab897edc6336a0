"""Tests of one direction of a connection."""

from twisted.internet.task import Clock

from hollyspan_standins.proxy import Link
from hollyspan_standins.proxy.pipe import Pipe


class Bench:
    """A pipe on a clock, with what came out of it."""

    def __init__(self):
        self.clock = Clock()
        self.link = Link(name="l", host="h", target=1, reactor=self.clock)
        self.out = []
        self.pipe = Pipe(
            link=self.link,
            write=self.out.append,
            close=lambda: self.out.append("closed"),
        )


def test_data_passes_at_once():
    bench = Bench()
    bench.pipe.push(b"a")
    bench.pipe.push(None)
    assert bench.out == [b"a", "closed"]


def test_a_delay_keeps_the_order_also_when_it_is_lifted():
    bench = Bench()
    bench.link.update({"delay_seconds": 1.0})
    bench.pipe.push(b"a")
    bench.link.update({"delay_seconds": 0})
    bench.pipe.push(b"b")
    bench.pipe.push(None)
    assert bench.out == []
    bench.clock.advance(1.0)
    assert bench.out == [b"a", b"b", "closed"]


def test_a_freeze_holds_everything_back():
    bench = Bench()
    bench.link.update({"freeze": True})
    bench.pipe.push(b"a")
    bench.pipe.push(None)
    bench.clock.advance(100)
    assert bench.out == []
    bench.link.update({"freeze": False})
    assert bench.out == [b"a", "closed"]


def test_what_was_discarded_never_comes():
    bench = Bench()
    bench.link.update({"delay_seconds": 1.0})
    bench.pipe.push(b"a")
    bench.pipe.discard()
    bench.clock.advance(2.0)
    assert bench.out == []


def test_dropped_replies_are_counted_down():
    link = Bench().link
    link.update({"drop_replies": 2})
    assert [link.take_dropped_reply() for _ in range(3)] == [
        True,
        True,
        False,
    ]
    link.update({"drop_replies": True})
    assert all(link.take_dropped_reply() for _ in range(3))
