"""Tests of trials whose upstreams end after the request was given up."""

import pytest

PART = 2
KEYS = frozenset({PART})
STEP_S = 0.1
MAX_ENDS = 3


# Failure: a trial that was given up before its upstream ended told nothing,
# and was repeated every few seconds without a bound.
@pytest.mark.parametrize("delay", [0.1, 0.15, 0.3, 0.5, 0.8])
def test_a_part_that_ends_upstreams_late_costs_few(
    build_fleet, monkeypatch, delay
):
    fleet = build_fleet(gateways=4, upstreams=12)
    fleet.advance(1.0)
    begin_answer = fleet.begin_answer

    def begin(send):
        if PART in send.parts:
            fleet.reactor.callLater(delay, fleet.end_upstream, send.upstream)
        else:
            begin_answer(send)

    monkeypatch.setattr(fleet, "begin_answer", begin)
    for each in fleet.gateways:
        each.guard.block_list.add(KEYS, at=fleet.reactor.seconds())
    for step in range(round(60.0 / STEP_S)):
        for number, gateway in enumerate(fleet.gateways):
            fleet.request(f"w{step}-{number}", (PART,), gateway=gateway)
        fleet.advance(STEP_S)
    assert len(fleet.list_sends(PART)) <= MAX_ENDS, [
        round(send.time, 1) for send in fleet.list_sends(PART)
    ][:40]
