import types

import pytest
from twisted.internet import defer

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import OverloadedError
from hollyspan_entry.files.body import BodyStream
from hollyspan_entry.files.body import HIGH_WATER_BYTES
from hollyspan_entry.files.bounded import BoundedBody
from hollyspan_entry.http import read_body
from hollyspan_entry.intake.limits import FREE_BYTES
from hollyspan_policy.intake import ByteBudget


class RecordingTransport:
    def __init__(self):
        self.calls = []

    def pauseProducing(self):
        self.calls.append("pause")

    def resumeProducing(self):
        self.calls.append("resume")


def read(body):
    results = []
    defer.ensureDeferred(body.read()).addBoth(results.append)
    return results


def test_connection_is_paused_above_the_high_water_mark():
    transport = RecordingTransport()
    body = BodyStream(transport=transport)
    body.write(b"a" * HIGH_WATER_BYTES)
    body.write(b"b")
    assert transport.calls == ["pause"]
    read(body)
    assert transport.calls == ["pause"]
    read(body)
    assert transport.calls == ["pause", "resume"]


def test_read_waits_for_bytes_and_returns_the_end():
    body = BodyStream(transport=RecordingTransport())
    waiting = read(body)
    assert waiting == []
    body.write(b"a")
    assert waiting == [b"a"]
    body.finish()
    assert read(body) == [b""]


def test_lost_connection_fails_the_read():
    body = BodyStream(transport=RecordingTransport())
    waiting = read(body)
    body.close()
    assert waiting[0].type.__name__ == "InvalidRequestError"


def test_bounded_body_keeps_up_to_its_limit():
    body = BoundedBody(limit=4, sender="a")
    for data in (b"abc", b"def", b"ghi"):
        body.write(data)
    body.seek(0)
    assert body.read() == b"abcde"


def test_bodies_keep_no_more_than_their_budget():
    budget = ByteBudget(what="bodies", limit=100_000)
    bodies = [
        BoundedBody(limit=1_000_000, sender=sender, budget=budget)
        for sender in "abcd"
    ]
    for _ in range(20):
        for body in bodies:
            body.write(b"x" * 10_000)
    assert budget.kept <= budget.limit
    assert any(body.is_refused for body in bodies)
    most = budget.limit + len(bodies) * FREE_BYTES
    assert sum(len(body.getvalue()) for body in bodies) <= most
    for body in bodies:
        body.close()
    assert budget.kept == 0


def test_a_body_without_room_is_refused_as_overload():
    body = BoundedBody(
        limit=1_000_000,
        sender="a",
        budget=ByteBudget(what="bodies", limit=0),
    )
    body.write(b"x" * (FREE_BYTES + 1))
    with pytest.raises(OverloadedError) as caught:
        read_body(types.SimpleNamespace(content=body))
    assert caught.value.outcome is Outcome.NOT_RUN
