"""Tests of the store's limited rates."""

from twisted.internet.task import Clock

from hollyspan_standins.store.calls import Calls
from hollyspan_standins.store.pacing import Pacer

READ = "/v3/kv/range"
WRITE = "/v3/kv/txn"


def test_calls_beyond_the_rate_wait_for_those_before():
    clock = Clock()
    pacer = Pacer(clock=clock, writes_per_second=10, reads_per_second=100)
    delays = [pacer.take(path) for path in (WRITE, WRITE, READ)]
    assert [round(delay, 6) for delay in delays] == [0.1, 0.2, 0.21]
    clock.advance(5)
    assert round(pacer.take(READ), 6) == 0.01


def test_without_a_limit_nothing_waits():
    assert Pacer(clock=Clock()).take(WRITE) == 0.0


def test_the_busiest_second_is_kept():
    clock = Clock()
    calls = Calls(clock=clock)
    for path in (WRITE, WRITE, READ):
        calls.note_arrival(path)
    clock.advance(1)
    calls.note_arrival(WRITE)
    document = calls.to_document(waiting=0)
    assert document["busiest_second_writes"] == 2
    assert document["busiest_second_reads"] == 1
