"""Tests of claims to trials between gateways whose clocks differ."""

import pytest
from twisted.internet import defer

KEYS = frozenset({2})


# Failure: a claim counted as expired at gateways whose clocks were ahead, so
# that several gateways had the same trial at once.
@pytest.mark.parametrize("skew", [-5.0, 0.0, 4.0, 5.0])
def test_a_claim_holds_where_the_clock_is_ahead(build_fleet, skew):
    fleet = build_fleet(gateways=2, upstreams=4)
    fleet.advance(1.0)
    first, second = fleet.gateways
    wall_clock = second.wall_clock
    second.wall_clock = lambda: wall_clock() + skew
    outcomes = []
    for gateway in (first, second):
        block = gateway.guard.block_list.add(KEYS, at=fleet.reactor.seconds())
        work = defer.ensureDeferred(
            gateway.guard.trials.claims.acquire([block])
        )
        work.addBoth(outcomes.append)
        fleet.advance(0.2)
    assert outcomes == [True, False]
