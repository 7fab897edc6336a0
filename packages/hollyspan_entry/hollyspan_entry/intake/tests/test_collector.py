"""Bytes that are kept of bodies, without a network."""

import types

import pytest
from twisted.internet import defer
from twisted.internet.testing import StringTransport
from twisted.python import failure
from twisted.web import client

from hollyspan_core.errors import IntakeExceededError
from hollyspan_entry.intake import collect_body
from hollyspan_entry.intake.limits import FREE_BYTES
from hollyspan_policy.intake import ByteBudget
from hollyspan_policy.intake import IntakeLimits

LIMITS = IntakeLimits(
    what="a body", content_bytes=400_000, spare_pieces=10, bytes_per_piece=8
)
BLOCK = b"x" * 10_000


class Body:
    """A body that is collected, whose other side is played by the test."""

    def __init__(self, *, budget, sender="a", length="unknown"):
        self.transport = StringTransport()
        self.results = []
        self.reader = None
        response = types.SimpleNamespace(
            length=length, deliverBody=self.deliver
        )
        defer.ensureDeferred(
            collect_body(response, limits=LIMITS, budget=budget, sender=sender)
        ).addBoth(self.results.append)

    def deliver(self, reader):
        self.reader = reader
        reader.makeConnection(self.transport)

    def receive(self, data, *, times=1):
        for _ in range(times):
            if not self.transport.disconnecting:
                self.reader.dataReceived(data)

    def end(self):
        self.reader.connectionLost(failure.Failure(client.ResponseDone()))

    @property
    def is_exceeded(self):
        (result,) = self.results
        return isinstance(getattr(result, "value", None), IntakeExceededError)


@pytest.fixture
def budget():
    return ByteBudget(what="bodies", limit=1_000_000, sender_limit=500_000)


def test_a_body_over_its_limit_is_cut(budget):
    body = Body(budget=budget)
    body.receive(BLOCK, times=100)
    assert body.is_exceeded
    assert body.transport.disconnecting
    assert body.reader.parts == []
    assert budget.kept == 0


def test_a_length_over_the_limit_is_refused_at_once(budget):
    body = Body(budget=budget, length=400_001)
    assert body.is_exceeded
    assert body.transport.disconnecting


def test_small_pieces_are_refused(budget):
    body = Body(budget=budget)
    body.receive(b"x", times=100)
    assert body.is_exceeded


def test_many_bodies_keep_no_more_than_the_budget(budget):
    bodies = [Body(budget=budget, sender=n % 4) for n in range(30)]
    most = 0
    for _ in range(30):
        for body in bodies:
            body.receive(BLOCK)
        most = max(most, sum(sum(map(len, b.reader.parts)) for b in bodies))
    assert most <= budget.limit + len(bodies) * FREE_BYTES
    assert sum(body.is_exceeded for body in bodies if body.results) > 20


def test_one_sender_leaves_room_for_another(budget):
    floods = [Body(budget=budget, sender="flood") for _ in range(30)]
    for _ in range(30):
        for flood in floods:
            flood.receive(BLOCK)
    body = Body(budget=budget, sender="sound")
    body.receive(BLOCK, times=40)
    body.end()
    assert body.results == [BLOCK * 40]


def test_usual_bodies_are_read_beside_a_budget_that_is_used_up(budget):
    with budget.open_account() as keep:
        keep(budget.limit)
        body = Body(budget=budget)
        body.receive(BLOCK, times=6)
        body.end()
        assert body.results == [BLOCK * 6]
