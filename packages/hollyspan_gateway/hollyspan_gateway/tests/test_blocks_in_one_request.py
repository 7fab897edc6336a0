"""Tests of requests that have the keys of several blocks."""

import random

import pytest

OWN, FATAL, SHARED, SOUND = 1, 2, 3, 9
STEP_S = 0.1
# Items have to end 18 s after the last loss of upstreams.
FINISH_S = 18.0
# Requests with a part that ends upstreams that may reach one after five ends.
MAX_SENDS = 3
SETTLE_S = 4.0


def run_waiting(fleet, kinds, seconds):
    """Let two gateways have requests of some kinds again and again."""
    for step in range(round(seconds / STEP_S)):
        for name, parts in kinds.items():
            for number in (0, 1):
                fleet.request(
                    f"{name}{step}-{number}",
                    parts,
                    gateway=fleet.gateways[number],
                )
        fleet.advance(STEP_S)


def end_by_job(fleet, parts):
    """End upstreams by the requests of one job until it is blocked."""
    for number in range(3):
        for other in range(24):
            fleet.request(f"b{number}-{other}", (SOUND,))
        fleet.request(f"f{number}", parts, gateway=fleet.gateways[0])
        fleet.advance(0.4)
    fleet.advance(0.5)


@pytest.fixture
def fleet(build_fleet):
    fleet = build_fleet(gateways=4, upstreams=12)
    fleet.advance(1.0)
    return fleet


# Failure: trials with requests that another block holds as well convict the
# sound part, and its other requests wait for minutes.
@pytest.mark.parametrize(
    ("sound", "fatal"), [(OWN, FATAL), (FATAL, OWN)], ids=str
)
def test_a_sound_part_is_free_though_it_came_with_a_fatal_one(
    fleet, sound, fatal
):
    fleet.fatal_parts.add(fatal)
    end_by_job(fleet, (sound, fatal))
    blocks = fleet.gateways[3].guard.blocks
    assert frozenset({sound}) in blocks and frozenset({fatal}) in blocks
    run_waiting(fleet, {"f": (sound, fatal)}, 15.0)
    started_at = fleet.reactor.seconds()
    run_waiting(
        fleet, {"f": (sound, fatal), "s": (sound, SOUND)}, FINISH_S - 6.0
    )
    assert frozenset({sound}) not in fleet.gateways[3].guard.blocks, [
        (sorted(block.keys), block.failed_trials, block.void_trials)
        for block in fleet.gateways[3].guard.blocks.values()
    ]
    assert any(
        fatal not in send.parts
        for send in fleet.list_sends(sound, after=started_at)
    )


# Failure: each block in a request let it through by its own trials, so that
# a fatal part cost twice as many upstreams as one block allows.
@pytest.mark.parametrize("own", [OWN, SHARED], ids=str)
def test_trials_of_two_blocks_cost_no_more_than_those_of_one(fleet, own):
    fleet.fatal_parts.add(FATAL)
    end_by_job(fleet, (own, FATAL))
    blocked_at = fleet.reactor.seconds()
    run_waiting(fleet, {"f": (own, FATAL), "g": (SOUND, FATAL)}, 60.0)
    sends = fleet.list_sends(FATAL, after=blocked_at)
    assert len(sends) <= MAX_SENDS, [
        (round(send.time - blocked_at, 1), send.parts) for send in sends
    ]


# Failure: a part that ends upstreams with another one only is never blocked
# where each of them comes without the other, too.
def test_parts_that_end_upstreams_together_cost_few(fleet, monkeypatch):
    monkeypatch.setattr(
        fleet,
        "is_fatal",
        lambda send: {OWN, FATAL} <= set(send.parts),
    )
    sound = {"o": (OWN, SOUND), "p": (FATAL, SOUND)}
    run_waiting(fleet, sound, 1.0)
    run_waiting(fleet, {"f": (OWN, FATAL), **sound}, 10.0)
    ends = [at for at, _ in fleet.ended]
    assert len(ends) >= 5
    sends = [
        send
        for send in fleet.list_sends(FATAL, after=ends[4] + SETTLE_S)
        if OWN in send.parts
    ]
    assert len(sends) <= MAX_SENDS, len(sends)


# Failure: with two fatal parts in requests that share others, each block had
# trials of its own with the same fatal part, some at the same time.
@pytest.mark.parametrize("seed", [1, 3, 10])
def test_two_fatal_parts_cost_few_while_the_store_is_down(
    build_fleet, wire, seed
):
    draw = random.Random(seed)
    fleet = build_fleet(gateways=0, upstreams=12)
    fleet.random.seed(seed)
    for number in range(6):
        fleet.add_gateway(runs_batch=number >= 3)
    fleet.advance(1.0)
    wire.is_down = True
    fleet.fatal_parts |= {2, 3}
    kinds = [(2, 10), (2, 11), (3, 10), (3, 12), (10, 12), (20,), (11, 20)]
    for step in range(400):
        for number, gateway in enumerate(fleet.gateways):
            if draw.random() < 0.5:
                fleet.request(
                    f"p{step}-{number}", draw.choice(kinds), gateway=gateway
                )
        fleet.advance(STEP_S)
    for part in (2, 3):
        ends = [
            send.time
            for send in fleet.list_sends(part)
            if send.has_ended_upstream
        ]
        assert len(ends) >= 5
        late = [
            (round(send.time - ends[4], 1), send.gateway.peers.identifier)
            + send.parts
            for send in fleet.list_sends(part, after=ends[4] + SETTLE_S)
        ]
        assert len(late) <= MAX_SENDS, late
