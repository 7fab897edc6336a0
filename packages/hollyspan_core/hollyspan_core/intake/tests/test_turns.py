"""Reading of one connection in turns."""

import pytest
from twisted.internet import task
from twisted.internet.testing import StringTransport

from hollyspan_core.intake import TurnReader
from hollyspan_core.intake.turns import SLICE_BYTES


class Reader:
    """A turn reader whose slices and end are recorded."""

    def __init__(self, *, delay=0.0):
        self.clock = task.Clock()
        self.transport = StringTransport()
        self.parsed = []
        self.ends = []
        self.delay = delay
        self.turns = TurnReader(
            reactor=self.clock,
            transport=self.transport,
            parse=self.parse,
            charge=lambda work: self.delay,
            on_end=self.ends.append,
        )

    def parse(self, data):
        self.parsed.append(data)
        return 1

    @property
    def is_paused(self):
        return self.transport.producerState == "paused"


def test_small_data_is_parsed_at_once():
    reader = Reader()
    reader.turns.receive(b"abc")
    assert reader.parsed == [b"abc"]
    assert not reader.is_paused


def test_large_data_is_parsed_a_slice_a_turn():
    reader = Reader()
    data = bytes(range(256)) * 48
    reader.turns.receive(data)
    assert reader.parsed == [data[:SLICE_BYTES]]
    assert reader.is_paused
    reader.clock.pump([0.0] * 3)
    assert b"".join(reader.parsed) == data
    assert not reader.is_paused


def test_slices_of_little_work_share_a_turn():
    reader = Reader()
    reader.turns.turn_work = 3
    reader.turns.receive(bytes(7 * SLICE_BYTES))
    assert len(reader.parsed) == 3
    reader.clock.advance(0)
    assert len(reader.parsed) == 7
    assert not reader.is_paused


def test_a_sender_over_its_share_is_read_later():
    reader = Reader(delay=0.5)
    reader.turns.receive(b"a")
    reader.turns.receive(b"b")
    assert reader.parsed == [b"a"]
    reader.clock.advance(0.4)
    assert reader.parsed == [b"a"]
    reader.clock.advance(0.1)
    assert reader.parsed == [b"a", b"b"]


def test_the_end_is_reported_behind_the_bytes_that_wait():
    reader = Reader()
    reader.turns.receive(bytes(2 * SLICE_BYTES))
    reader.turns.end("closed")
    assert reader.ends == []
    reader.clock.advance(0)
    assert reader.ends == ["closed"]
    assert sum(map(len, reader.parsed)) == 2 * SLICE_BYTES


def test_nothing_is_parsed_after_a_stop():
    reader = Reader()
    reader.turns.receive(bytes(3 * SLICE_BYTES))
    reader.turns.stop()
    reader.clock.pump([0.0] * 3)
    assert len(reader.parsed) == 1
    assert reader.turns.pending_bytes == 0


def test_a_stop_from_the_parser_ends_the_reading():
    reader = Reader()

    def parse(data):
        reader.parsed.append(data)
        reader.turns.stop()
        return 1

    reader.turns.parse = parse
    reader.turns.receive(bytes(3 * SLICE_BYTES))
    reader.clock.pump([0.0] * 3)
    assert len(reader.parsed) == 1


def test_nothing_is_parsed_while_the_reader_is_held():
    reader = Reader()
    reader.turns.hold()
    assert reader.is_paused
    reader.turns.receive(bytes(2 * SLICE_BYTES))
    reader.clock.pump([1.0] * 3)
    assert reader.parsed == []
    reader.turns.release()
    reader.clock.pump([0.0] * 2)
    assert len(reader.parsed) == 2
    assert not reader.is_paused


def test_a_hold_from_the_parser_leaves_the_other_slices():
    reader = Reader()

    def parse(data):
        reader.parsed.append(data)
        reader.turns.hold()
        return 1

    reader.turns.parse = parse
    reader.turns.receive(bytes(2 * SLICE_BYTES))
    reader.clock.pump([1.0] * 3)
    assert len(reader.parsed) == 1
    reader.turns.release()
    reader.clock.advance(0)
    assert len(reader.parsed) == 2


def test_a_release_does_not_shorten_the_wait_of_a_sender():
    reader = Reader(delay=0.5)
    reader.turns.receive(b"a")
    reader.turns.hold()
    reader.turns.receive(b"b")
    reader.turns.release()
    reader.clock.advance(0.4)
    assert reader.parsed == [b"a"]
    reader.clock.advance(0.1)
    assert reader.parsed == [b"a", b"b"]


def test_the_end_waits_for_bytes_that_are_held():
    reader = Reader()
    reader.turns.hold()
    reader.turns.receive(b"a")
    reader.turns.end("closed")
    assert reader.ends == []
    reader.turns.release()
    reader.clock.advance(0)
    assert reader.parsed == [b"a"]
    assert reader.ends == ["closed"]


def test_the_end_is_reported_at_once_to_a_reader_that_is_held():
    reader = Reader()
    reader.turns.hold()
    reader.turns.end("closed")
    assert reader.ends == ["closed"]


# Failure: a sender over its share had one more slice read over each new
# connection.
def test_the_first_slice_waits_for_the_share_of_its_sender():
    reader = Reader()
    waits = [0.5, 0.1, 0.0, 0.0]
    reader.turns.ask = lambda: waits.pop(0)
    reader.turns.receive(b"a")
    assert reader.parsed == []
    assert reader.is_paused
    reader.clock.advance(0.5)
    assert reader.parsed == []
    reader.clock.advance(0.1)
    assert reader.parsed == [b"a"]
    assert not reader.is_paused


def test_nothing_is_received_after_a_stop():
    reader = Reader()
    reader.turns.stop()
    reader.turns.receive(b"a")
    assert reader.parsed == []
    assert not reader.clock.getDelayedCalls()


# Failure: a wait below the clock's resolution was asked for again and again at
# the same moment.
def test_a_wait_below_the_resolution_of_the_clock_ends():
    reader = Reader()
    reader.clock.advance(1000.0)
    asked = []

    def ask():
        asked.append(reader.clock.seconds())
        assert len(asked) < 10
        return 1e-15 if asked[-1] < 1000.015 else 0.0

    reader.turns.ask = ask
    reader.turns.receive(b"a")
    reader.clock.pump([0.01] * 2)
    assert reader.parsed == [b"a"]


# Failure: a connection stayed open and paused when its parser had failed.
def test_a_parser_that_fails_in_a_later_turn_closes_the_connection():
    reader = Reader()

    def parse(data):
        reader.parsed.append(data)
        if len(reader.parsed) == 2:
            raise KeyError("unknown")
        return 1

    reader.turns.parse = parse
    reader.turns.receive(bytes(4 * SLICE_BYTES))
    with pytest.raises(KeyError):
        reader.clock.advance(0)
    assert reader.transport.disconnecting
    assert reader.turns.pending_bytes == 0
