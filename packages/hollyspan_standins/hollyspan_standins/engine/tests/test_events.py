"""Tests of cache events."""

from random import Random

from twisted.internet.task import Clock

from hollyspan_standins.engine.events import CacheEvents


def build(loss_share):
    clock = Clock()
    events = CacheEvents(
        clock=clock, random=Random(1), lag_seconds=1.0, loss_share=loss_share
    )
    return clock, events


def test_events_are_delayed():
    clock, events = build(0.0)
    events.publish("stored", "a")
    assert events.list_after(0) == {"events": [], "next": 0}
    clock.advance(1.0)
    found = events.list_after(0)
    assert found["events"] == [{"seq": 1, "kind": "stored", "block": "a"}]
    assert events.list_after(found["next"])["events"] == []


def test_lost_events_leave_gaps():
    clock, events = build(0.5)
    for _ in range(100):
        events.publish("stored", "a")
    clock.advance(1.0)
    numbers = [event["seq"] for event in events.list_after(0)["events"]]
    assert 20 < len(numbers) < 80
    assert numbers == sorted(numbers)
    assert events.last_number == 100
