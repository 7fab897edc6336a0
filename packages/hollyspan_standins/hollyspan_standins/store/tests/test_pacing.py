"""Tests of the rate limits and call counts of the store."""

from twisted.internet.task import Clock

from hollyspan_standins.store.calls import CallCounts
from hollyspan_standins.store.pacing import Pacer

READ = "/v3/kv/range"
WRITE = "/v3/kv/txn"


def test_calls_above_the_rate_are_queued():
    clock = Clock()
    pacer = Pacer(clock=clock, writes_per_second=10, reads_per_second=100)
    delays = [pacer.reserve(path) for path in (WRITE, WRITE, READ)]
    assert [round(delay, 6) for delay in delays] == [0.1, 0.2, 0.21]
    clock.advance(5)
    assert round(pacer.reserve(READ), 6) == 0.01


def test_calls_without_limit_are_not_delayed():
    assert Pacer(clock=Clock()).reserve(WRITE) == 0.0


def test_peak_counts_are_kept():
    clock = Clock()
    calls = CallCounts(clock=clock)
    for path in (WRITE, WRITE, READ):
        calls.record_arrival(path)
    clock.advance(1)
    calls.record_arrival(WRITE)
    document = calls.to_document(waiting=0)
    assert document["busiest_second_writes"] == 2
    assert document["busiest_second_reads"] == 1
