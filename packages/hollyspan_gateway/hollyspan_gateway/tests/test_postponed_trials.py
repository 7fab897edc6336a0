"""Tests of trials that ends of other upstreams have postponed."""

import pytest

PART, OTHER = 2, 3
KEYS = frozenset({PART})
GATEWAYS = 12
STEP_S = 0.1
MAX_ENDS_BY_TRIALS = 3


# Failure: the times of the gateways for a trial had all passed while it was
# postponed, and without the store all of them tried at once.
@pytest.mark.parametrize("is_down", [False, True])
@pytest.mark.parametrize("losses_s", [5.0, 60.0])
def test_postponed_trials_of_a_fatal_part_cost_few(
    build_fleet, wire, is_down, losses_s
):
    fleet = build_fleet(gateways=GATEWAYS, upstreams=30)
    fleet.advance(1.0)
    wire.is_down = is_down
    fleet.fatal_parts.add(PART)
    for each in fleet.gateways:
        each.guard.block_list.add(KEYS, at=fleet.reactor.seconds())
    for step in range(round(60.0 / STEP_S)):
        if step * STEP_S < losses_s and step % 8 == 0:
            fleet.request(f"o{step}", (OTHER,))
            fleet.advance(0.02)
            fleet.end_upstream(fleet.sent[-1].upstream)
        for number, gateway in enumerate(fleet.gateways):
            fleet.request(f"w{step}-{number}", (PART,), gateway=gateway)
        fleet.advance(STEP_S)
    sends = fleet.list_sends(PART)
    assert len(sends) <= MAX_ENDS_BY_TRIALS, [
        round(send.time, 1) for send in sends
    ]


# Failure: the same with as few as two gateways that have such requests, with
# a part that is sound for all that can be known.
def test_one_gateway_at_a_time_tries_after_a_postponement(build_fleet, wire):
    fleet = build_fleet(gateways=GATEWAYS, upstreams=30)
    fleet.advance(1.0)
    wire.is_down = True
    for each in fleet.gateways:
        each.guard.block_list.add(KEYS, at=fleet.reactor.seconds())
    for step in range(200):
        if step % 8 == 0 and step < 60:
            fleet.request(f"o{step}", (OTHER,))
            fleet.advance(0.02)
            fleet.end_upstream(fleet.sent[-1].upstream)
        for number, gateway in enumerate(fleet.gateways):
            fleet.request(f"w{step}-{number}", (PART,), gateway=gateway)
        fleet.advance(0.02)
        sends = fleet.list_sends(PART)
        if sends:
            break
        fleet.advance(STEP_S)
    assert len(sends) == 1
