"""Tests of the trials of blocks in a fleet."""

import json

from eliot import testing
import pytest

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import RequestBlockedError
from hollyspan_standins.memory import LinkState

PART, OTHER = 2, 3
KEYS = frozenset({PART})
STEP_S = 0.1
# Items have to end 18 s after the last loss of upstreams, some of which their
# runs take.
SOON_S = 6.0
# Upstreams that a part which ends them may cost within a minute of its block.
MAX_ENDS_BY_TRIALS = 2


@pytest.fixture
def logged():
    """Return the messages that are logged."""
    logger = testing.MemoryLogger()
    previous = testing.swap_logger(logger)
    yield logger.messages
    testing.swap_logger(previous)


def list_results(logged):
    """Return the results of the trials that have ended, and the reasons."""
    return [
        (line["result"], line["reason"])
        for line in logged
        if line.get("message_type") == "part:trial_ended"
    ]


def block_part(fleet):
    """Block the part at all gateways, as if its ends were known before."""
    fleet.advance(1.0)
    at = fleet.reactor.seconds()
    for each in fleet.gateways:
        each.guard.block_list.add(KEYS, at=at)


def lose_with_part(fleet, gateway, *, count=3):
    """End upstreams at different moments as they begin to answer the part."""
    for number in range(count):
        fleet.request(f"l{number}", (PART,), gateway=gateway)
        fleet.advance(0.03)
        fleet.end_upstream(fleet.sent[-1].upstream)
        fleet.advance(0.02)
        for request in fleet.list_sends(PART):
            request.is_ended = True
        fleet.advance(0.95)


def list_blocks(fleet):
    """Return the blocks of the part at the live gateways."""
    return [
        gateway.guard.blocks[KEYS]
        for gateway in fleet.network.gateways.values()
        if KEYS in gateway.guard.blocks
    ]


def run_waiting(fleet, gateways, seconds, *, name="w", until=lambda: False):
    """Let gateways have requests with the part again and again.

    Returns
    -------
    float
        Seconds that passed.
    """
    started_at = fleet.reactor.seconds()
    step = 0
    while fleet.reactor.seconds() - started_at < seconds and not until():
        for number, gateway in enumerate(gateways):
            fleet.request(f"{name}{step}-{number}", (PART,), gateway=gateway)
        fleet.advance(STEP_S)
        step += 1
    return fleet.reactor.seconds() - started_at


# Failure: sound parts that were blocked as certain were tried after 30 s, and
# later the more gateways there were that had no item with them.
@pytest.mark.parametrize("is_down", [False, True])
@pytest.mark.parametrize("count", [4, 18, 40])
def test_a_sound_part_is_free_within_seconds_where_one_gateway_has_it(
    build_fleet, wire, count, is_down
):
    fleet = build_fleet(gateways=count, upstreams=8, runs_batch=True)
    fleet.advance(1.0)
    wire.is_down = is_down
    for gateway in (fleet.gateways[0], fleet.gateways[-1]):
        for each in fleet.gateways:
            each.guard.block_list.add(KEYS, at=fleet.reactor.seconds())
        seconds = run_waiting(
            fleet, [gateway], 60.0, until=lambda: not list_blocks(fleet)
        )
        assert seconds < SOON_S
        fleet.advance(3.0)


def test_a_sound_part_that_losses_at_three_moments_block_is_free_soon(
    build_fleet,
):
    fleet = build_fleet(gateways=4, upstreams=8)
    fleet.advance(1.0)
    gateway = fleet.gateways[1]
    lose_with_part(fleet, gateway)
    fleet.advance(0.3)
    blocks = list_blocks(fleet)
    assert blocks and not any(block.is_doubtful for block in blocks)
    seconds = run_waiting(
        fleet, [gateway], 60.0, until=lambda: not list_blocks(fleet)
    )
    assert seconds < SOON_S


@pytest.fixture
def fatal_fleet(build_fleet):
    """Three fronts and three workers that have all blocked the fatal part."""
    fleet = build_fleet(gateways=0, upstreams=12)
    for number in range(6):
        fleet.add_gateway(runs_batch=number >= 3)
    fleet.advance(1.0)
    fleet.fatal_parts.add(PART)
    for number in range(3):
        fleet.request(f"f{number}", (PART,), gateway=fleet.gateways[0])
        fleet.advance(0.2)
    fleet.advance(0.5)
    assert len(list_blocks(fleet)) == 6
    return fleet


def test_a_fatal_part_ends_two_upstreams_in_the_minute_after_its_block(
    fatal_fleet,
):
    ended = len(fatal_fleet.ended)
    run_waiting(fatal_fleet, fatal_fleet.gateways, 60.0)
    assert len(fatal_fleet.ended) == ended + MAX_ENDS_BY_TRIALS
    assert {block.failed_trials for block in list_blocks(fatal_fleet)} == {2}


def test_a_fatal_part_ends_few_upstreams_while_the_store_is_down(
    fatal_fleet, wire
):
    wire.is_down = True
    ended = len(fatal_fleet.ended)
    run_waiting(fatal_fleet, fatal_fleet.gateways, 60.0)
    assert len(fatal_fleet.ended) == ended + MAX_ENDS_BY_TRIALS


# Failure: gateways whose claims failed while the store was down tried at once
# or 0.2 s apart, and some of them took the same turn.
@pytest.mark.parametrize("seed", [*range(4), 5, 20, 38])
@pytest.mark.parametrize("is_down", [False, True])
def test_a_fatal_part_ends_few_upstreams_while_datagrams_are_lost(
    fatal_fleet, wire, is_down, seed
):
    fatal_fleet.random.seed(seed)
    fatal_fleet.lose_datagrams()
    wire.is_down = is_down
    ended = len(fatal_fleet.ended)
    run_waiting(fatal_fleet, fatal_fleet.gateways, 60.0)
    assert len(fatal_fleet.ended) <= ended + MAX_ENDS_BY_TRIALS


# Failure: gateways that missed heartbeats of different peers took the same
# turn.
def test_gateways_that_do_not_hear_each_other_take_different_turns(
    build_fleet,
):
    fleet = build_fleet(gateways=4, upstreams=4)
    fleet.advance(1.0)
    fleet.network.blocked = {(1000, 1001), (1001, 1000)}
    fleet.advance(3.0)
    shares = [
        gateway.guard.records.find_trial_share(KEYS)
        for gateway in fleet.gateways
    ]
    assert sorted(shares) == [0.0, 0.25, 0.5, 0.75]


@pytest.mark.parametrize("is_down", [False, True])
@pytest.mark.parametrize("delay", [0.02, 0.1, 0.2])
def test_a_fatal_part_ends_few_upstreams_if_a_gateway_dies_in_a_trial(
    fatal_fleet, wire, delay, is_down
):
    fleet = fatal_fleet
    wire.is_down = is_down
    ended = len(fleet.ended)
    sends = len(fleet.sent)
    run_waiting(
        fleet,
        fleet.gateways,
        30.0,
        until=lambda: len(fleet.sent) > sends,
    )
    (send,) = fleet.sent[sends:]
    fleet.advance(delay)
    number = fleet.gateways.index(send.gateway)
    fleet.kill_gateway(number)
    if len(fleet.ended) == ended:
        # It has read the request.
        fleet.end_upstream(send.upstream)
    others = [each for each in fleet.gateways if each is not send.gateway]
    run_waiting(fleet, others, 60.0)
    assert len(fleet.ended) <= ended + MAX_ENDS_BY_TRIALS


# Failure: trials that met the next loss of upstreams counted as failed, and
# the part of a sound job stayed blocked for minutes.
def test_a_trial_that_meets_a_loss_of_others_is_repeated_soon(build_fleet):
    fleet = build_fleet(gateways=4, upstreams=10)
    block_part(fleet)
    first, second, *_ = fleet.gateways
    sends = len(fleet.sent)
    run_waiting(
        fleet, [first], 10.0, until=lambda: len(fleet.list_sends(PART))
    )
    (trial,) = fleet.sent[sends:]
    while len(fleet.sent) < sends + 4:
        fleet.request(f"o{len(fleet.sent)}", (OTHER,), gateway=second)
    lost = {send.upstream for send in fleet.sent[sends:]}
    assert len(lost) > 1
    for name in lost:
        fleet.end_upstream(name)
    fleet.advance(0.5)
    blocks = list_blocks(fleet)
    assert {block.void_trials for block in blocks} == {1}
    assert {block.failed_trials for block in blocks} == {0}
    seconds = run_waiting(
        fleet, [first], 60.0, until=lambda: not list_blocks(fleet)
    )
    assert seconds < SOON_S


def note_other_end(fleet, key):
    """Let all gateways know an upstream that ended beside old answers."""
    for gateway in fleet.gateways:
        gateway.guard.evidence.note_other_end(
            key, at=fleet.reactor.seconds(), is_confirmed=True
        )


# Failure: a trial that was lost together with upstreams that had only long
# answers in flight counted as failed.
def test_a_trial_that_is_lost_beside_old_answers_is_void(build_fleet):
    fleet = build_fleet(gateways=4, upstreams=10)
    block_part(fleet)
    first = fleet.gateways[0]
    run_waiting(
        fleet, [first], 10.0, until=lambda: len(fleet.list_sends(PART))
    )
    (trial,) = fleet.list_sends(PART)
    fleet.end_upstream(trial.upstream)
    note_other_end(fleet, 99)
    fleet.advance(0.5)
    blocks = list_blocks(fleet)
    assert {block.void_trials for block in blocks} == {1}
    assert {block.failed_trials for block in blocks} == {0}


# Failure: after three trials that met losses the next one came after 30 s, and
# items of a sound job were open 18 s after the last loss.
def test_a_part_whose_trials_met_losses_is_free_soon_after_them(build_fleet):
    fleet = build_fleet(gateways=4, upstreams=10)
    block_part(fleet)
    first = fleet.gateways[0]
    for number in range(3):
        sends = len(fleet.sent)
        run_waiting(
            fleet,
            [first],
            30.0,
            name=f"w{number}-",
            until=lambda: len(fleet.sent) > sends,
        )
        fleet.end_upstream(fleet.sent[-1].upstream)
        note_other_end(fleet, number)
        fleet.advance(0.5)
    assert {block.void_trials for block in list_blocks(fleet)} == {3}
    seconds = run_waiting(
        fleet, [first], 60.0, until=lambda: not list_blocks(fleet)
    )
    assert seconds < SOON_S


# Failure: a trial began beside the losses of such upstreams.
def test_a_trial_waits_while_upstreams_with_old_answers_end(build_fleet):
    fleet = build_fleet(gateways=4, upstreams=10)
    block_part(fleet)
    for number in range(10):
        note_other_end(fleet, number)
        run_waiting(fleet, fleet.gateways, 0.5, name=f"w{number}-")
    assert not fleet.list_sends(PART)


def test_a_trial_waits_until_other_upstreams_end_no_longer(build_fleet):
    fleet = build_fleet(gateways=4, upstreams=10)
    block_part(fleet)
    first, second, *_ = fleet.gateways
    for number in range(8):
        fleet.request(f"o{number}", (OTHER + number,), gateway=second)
        fleet.advance(0.03)
        fleet.end_upstream(fleet.sent[-1].upstream)
        run_waiting(fleet, [first], 0.5, name=f"w{number}-")
    assert not fleet.list_sends(PART)
    seconds = run_waiting(
        fleet, [first], 60.0, until=lambda: not list_blocks(fleet)
    )
    assert seconds < SOON_S


def test_steady_losses_do_not_keep_a_part_from_its_trial(build_fleet):
    fleet = build_fleet(gateways=4, upstreams=12)
    block_part(fleet)
    first, second, *_ = fleet.gateways
    for number in range(20):
        if fleet.list_sends(PART):
            break
        fleet.request(f"o{number}", (OTHER + number,), gateway=second)
        fleet.advance(0.03)
        fleet.end_upstream(fleet.sent[-1].upstream)
        run_waiting(fleet, [first], 0.7, name=f"w{number}-")
    assert fleet.list_sends(PART)


# Failure: the first trial of a part that only clients' requests have came
# after 30 s and more, by the rank of the gateway that they reached.
def test_the_next_request_is_the_trial_of_a_part_of_rare_requests(build_fleet):
    fleet = build_fleet(gateways=18, upstreams=8)
    block_part(fleet)
    fleet.advance(10.0)
    request = fleet.request("n", (PART,), gateway=fleet.gateways[7])
    fleet.advance(1.5)
    assert request.status == 200 and request.is_ended
    assert not list_blocks(fleet)


def give_up_trial(fleet):
    """Let a client leave just after its request was sent as a trial."""
    block_part(fleet)
    fleet.advance(4.0)
    request = fleet.request("n", (PART,), gateway=fleet.gateways[0])
    fleet.advance(0.02)
    (send,) = fleet.list_sends(PART)
    request.on_disconnect()
    return send


def test_a_request_that_its_client_gives_up_tells_nothing(build_fleet, logged):
    fleet = build_fleet(gateways=4, upstreams=8)
    give_up_trial(fleet)
    seconds = run_waiting(
        fleet, fleet.gateways, 60.0, until=lambda: not list_blocks(fleet)
    )
    assert seconds < SOON_S
    assert [result for result, _ in list_results(logged)] == [
        "unfinished",
        "survived",
    ]


def test_an_upstream_that_ends_with_a_trial_given_up_counts(build_fleet):
    fleet = build_fleet(gateways=4, upstreams=8)
    send = give_up_trial(fleet)
    # Another request tells of the end.
    for number in range(16):
        fleet.request(f"o{number}", (OTHER,), gateway=fleet.gateways[1])
    fleet.end_upstream(send.upstream)
    fleet.advance(3.0)
    assert {block.failed_trials for block in list_blocks(fleet)} == {1}


# Failure: trials whose upstreams were slow to answer counted, and the next
# one came after 30 s.
def test_slow_answers_do_not_make_trials_rare(build_fleet, monkeypatch):
    delay = "hollyspan_standins.memory.fleet.START_DELAY_S"
    fleet = build_fleet(gateways=4, upstreams=8)
    monkeypatch.setattr(delay, 6.0)
    block_part(fleet)
    run_waiting(fleet, fleet.gateways, 20.0)
    assert len(fleet.list_sends(PART)) > 3
    assert {block.trial_count for block in list_blocks(fleet)} == {0}
    monkeypatch.setattr(delay, 0.05)
    seconds = run_waiting(
        fleet, fleet.gateways, 60.0, until=lambda: not list_blocks(fleet)
    )
    assert seconds < SOON_S


def test_trials_with_answers_within_the_timeout_end_a_block(
    build_fleet, monkeypatch
):
    fleet = build_fleet(gateways=4, upstreams=8)
    monkeypatch.setattr("hollyspan_standins.memory.fleet.START_DELAY_S", 4.0)
    block_part(fleet)
    run_waiting(fleet, fleet.gateways, 20.0)
    assert len(fleet.list_sends(PART)) > 3
    assert not list_blocks(fleet)


def test_blocks_and_records_of_the_previous_build_are_tried_soon(
    build_fleet, wire, reactor
):
    record = {
        "parts": [PART],
        "blocked_at": reactor.seconds(),
        "failed_trials": 0,
    }
    wire.change({"hs/x/1": b"\0" * 16 + json.dumps(record).encode()})
    fleet = build_fleet(gateways=4, upstreams=8)
    fleet.advance(0.5)
    assert len(list_blocks(fleet)) == 4
    gateway = fleet.gateways[2]
    seconds = run_waiting(
        fleet, [gateway], 60.0, until=lambda: not list_blocks(fleet)
    )
    assert seconds < SOON_S


def test_the_previous_build_reads_no_claim_as_a_block(fatal_fleet, wire):
    run_waiting(fatal_fleet, fatal_fleet.gateways, 10.0)
    keys = [key for key in wire.entries if key.startswith("hs/")]
    assert sum(key.startswith("hs/x/") for key in keys) == 1
    assert sum(key.startswith("hs/y/") for key in keys) == 1
    (entry,) = [wire.entries[key] for key in keys if key.startswith("hs/x/")]
    record = json.loads(entry.content)
    assert set(record) >= {"parts", "blocked_at", "failed_trials"}


def test_trials_claim_rarely(fatal_fleet, wire):
    commits = wire.calls.count("commit")
    run_waiting(fatal_fleet, fatal_fleet.gateways, 60.0)
    # Two trials: a claim and the record of the result each, and the claims of
    # gateways that had not heard of the trial yet.
    assert wire.calls.count("commit") - commits <= 4 + 2 * 5


def refuse(connection):
    connection.answer(421, headers=[(b"not-run", b"1")])


def test_a_trial_that_is_refused_is_none(build_fleet, logged):
    fleet = build_fleet(gateways=4, upstreams=4)
    block_part(fleet)
    fleet.faults.update(dict.fromkeys(fleet.upstreams, refuse))
    gateway = fleet.gateways[0]
    run_waiting(fleet, [gateway], 6.0)
    assert fleet.list_sends(PART)
    assert {result for result, _ in list_results(logged)} == {"not_sent"}
    assert {block.trial_count for block in list_blocks(fleet)} == {0}
    fleet.faults.clear()
    seconds = run_waiting(
        fleet, [gateway], 60.0, until=lambda: not list_blocks(fleet)
    )
    assert seconds < SOON_S


def test_each_trial_has_a_line_with_its_result(fatal_fleet, logged):
    run_waiting(fatal_fleet, fatal_fleet.gateways, 20.0)
    assert list_results(logged) == [("failed", None)] * 2
    tried = [
        line for line in logged if line.get("message_type") == "part:tried"
    ]
    assert len(tried) == 2
    assert 2.0 <= tried[0]["age"] < tried[1]["age"] < 15.0


def test_a_survival_ends_the_block_at_all_gateways_at_once(build_fleet, wire):
    fleet = build_fleet(gateways=12, upstreams=8)
    block_part(fleet)
    fleet.advance(0.1)
    wire.is_down = True
    fleet.gateways[5].guard.handle_survival((PART, 7))
    fleet.advance(0.1)
    assert not list_blocks(fleet)


def report_ends(guard, ages, *, now):
    for number, age in enumerate(ages):
        guard.apply_end(number, {(PART,)}, at=now - age, is_confirmed=True)


# Failure: a block that a gateway had decided before the news of an earlier
# survival arrived stayed until its trial.
def test_a_survival_before_the_decision_ends_the_block(build_fleet):
    fleet = build_fleet(gateways=4, upstreams=8)
    fleet.advance(10.0)
    now = fleet.reactor.seconds()
    first, second, *_ = fleet.gateways
    second.guard.apply_survival((PART,), at=now - 0.5)
    # Its reports are on the way.
    fleet.network.isolate(1001)
    report_ends(first.guard, (0.0, 0.0, 0.0), now=now)
    fleet.advance(0.5)
    assert KEYS in first.guard.blocks
    fleet.network.blocked.clear()
    fleet.advance(1.0)
    assert not list_blocks(fleet)


def test_a_block_outlasts_a_survival_long_before_its_ends(build_fleet):
    fleet = build_fleet(gateways=4, upstreams=8)
    fleet.advance(10.0)
    now = fleet.reactor.seconds()
    first, second, *_ = fleet.gateways
    second.guard.apply_survival((PART,), at=now - 4.0)
    report_ends(first.guard, (0.2, 0.1, 0.0), now=now)
    fleet.advance(1.5)
    assert len(list_blocks(fleet)) == 4


# Failure: a front that was allowed a trial while the store was down, and had
# no request yet, made it beside another front's trial, or just after it.
@pytest.mark.parametrize("pause", [0.02, 0.5])
def test_a_trial_elsewhere_ends_the_right_to_one(fatal_fleet, wire, pause):
    fleet = fatal_fleet
    fleet.advance(10.0)
    wire.is_down = True
    first, second, *_ = fleet.gateways
    for gateway in (first, second):
        fleet.request("n", (PART,), gateway=gateway)
    fleet.advance(1.0)
    sends = len(fleet.sent)
    for gateway in (first, second):
        fleet.request("m", (PART,), gateway=gateway)
        fleet.advance(pause)
    assert len(fleet.sent) == sends + 1


# Failure: while the store was down, gateways that all got a request after the
# turns of all of them made a trial each.
def test_requests_after_all_turns_that_come_at_once_are_one_trial(
    fatal_fleet, wire
):
    fleet = fatal_fleet
    fleet.advance(10.0)
    wire.is_down = True
    now = fleet.reactor.seconds()
    for gateway in fleet.gateways:
        gateway.guard.trials.claims.unavailable_until = now + 5.0
    sends = len(fleet.sent)
    for number, gateway in enumerate(fleet.gateways):
        fleet.request(f"n{number}", (PART,), gateway=gateway)
    fleet.advance(1.0)
    assert len(fleet.sent) == sends + 1


class NoRefusals(set):
    """Addresses that refuse connections: none, whatever ends."""

    def add(self, address):
        pass


# Failure: trials of a fatal part over links that reset counted nowhere, since
# the ends of their upstreams were not seen, and upstreams ended one after the
# other.
def test_ends_behind_links_that_reset_bound_the_trials(fatal_fleet, logged):
    fleet = fatal_fleet
    ended = len(fleet.ended)
    for gateway in fleet.gateways:
        gateway.pool.unreachable = NoRefusals()
    for step in range(200):
        for number, gateway in enumerate(fleet.gateways):
            fleet.request(f"w{step}-{number}", (PART,), gateway=gateway)
        fleet.advance(0.02)
        sends = fleet.list_sends(PART, after=fleet.reactor.seconds() - 0.03)
        if sends:
            for gateway in fleet.gateways:
                fleet.set_links(gateway, LinkState.KEEPS_OLD_AND_RESETS)
            fleet.advance(2.5)
            for gateway in fleet.gateways:
                fleet.restore_links(gateway)
        fleet.advance(STEP_S)
    assert [result for result, _ in list_results(logged)] == ["void"] * 3
    assert len(fleet.ended) == ended + 3


OWN_PARTS = range(100, 108)


def block_together(fleet, parts):
    """Block several parts at all gateways at the same time."""
    fleet.advance(1.0)
    at = fleet.reactor.seconds()
    for each in fleet.gateways:
        for part in parts:
            each.guard.block_list.add(frozenset({part}), at=at)


def list_blocked(fleet):
    """Return the parts that any gateway blocks."""
    return {
        min(keys)
        for gateway in fleet.network.gateways.values()
        for keys in gateway.guard.blocks
    }


def run_jobs(fleet, seconds, requests, *, until=lambda: False):
    """Let all gateways have requests with some parts again and again."""
    started_at = fleet.reactor.seconds()
    step = 0
    while fleet.reactor.seconds() - started_at < seconds and not until():
        for number, parts in enumerate(requests):
            fleet.request(
                f"j{step}-{number}",
                parts,
                gateway=fleet.gateways[number % len(fleet.gateways)],
            )
        fleet.advance(STEP_S)
        step += 1
    return fleet.reactor.seconds() - started_at


# Failure: a part that ends upstreams was sent to one for each job that was
# blocked beside it, by the trials of the jobs' own parts.
@pytest.mark.parametrize("is_down", [False, True])
@pytest.mark.parametrize("has_others", [False, True])
def test_trials_of_other_blocks_let_no_fatal_part_through(
    build_fleet, wire, has_others, is_down
):
    fleet = build_fleet(gateways=4, upstreams=24)
    fleet.fatal_parts.add(PART)
    block_together(fleet, [*OWN_PARTS, PART])
    wire.is_down = is_down
    requests = [(PART, own) for own in OWN_PARTS]
    if has_others:
        requests += [(PART, 50), (PART, 51)]
    run_jobs(fleet, 60.0, requests)
    assert len(fleet.ended) == MAX_ENDS_BY_TRIALS
    assert PART in list_blocked(fleet)


# Failure: the same for requests that are under two blocks.
@pytest.mark.parametrize("is_down", [False, True])
def test_requests_under_two_blocks_do_not_wait_for_ever(
    build_fleet, wire, is_down
):
    fleet = build_fleet(gateways=4, upstreams=8)
    block_together(fleet, [PART, OTHER])
    wire.is_down = is_down
    seconds = run_jobs(
        fleet,
        60.0,
        [(PART, OTHER)] * 4,
        until=lambda: not list_blocked(fleet),
    )
    assert seconds < (10.0 if is_down else SOON_S)


def test_a_request_under_one_block_is_its_trial_first(build_fleet, logged):
    fleet = build_fleet(gateways=4, upstreams=8)
    fleet.fatal_parts.add(OTHER)
    block_together(fleet, [OTHER, PART])
    run_jobs(fleet, 30.0, [(PART, OTHER)] * 4 + [(PART, 9)])
    assert list_blocked(fleet) == {OTHER}
    first = fleet.list_sends(PART)[0]
    assert OTHER not in first.parts
    assert len(fleet.ended) == MAX_ENDS_BY_TRIALS


def test_a_trial_of_two_blocks_convicts_neither(build_fleet, logged):
    fleet = build_fleet(gateways=4, upstreams=8)
    fleet.fatal_parts.add(PART)
    block_together(fleet, [PART, OTHER])
    run_jobs(
        fleet, 20.0, [(PART, OTHER)] * 4, until=lambda: list_results(logged)
    )
    fleet.advance(0.5)
    counts = {
        (min(keys), block.failed_trials, block.void_trials)
        for gateway in fleet.gateways
        for keys, block in gateway.guard.blocks.items()
    }
    assert counts == {(PART, 0, 1), (OTHER, 0, 1)}
    reason = "other blocked keys came with it"
    assert list_results(logged) == [("void", reason)] * 2
    assert len({line["request"] for line in logged if "age" in line}) == 1


def test_a_refused_request_is_told_the_time_of_its_latest_trial(build_fleet):
    fleet = build_fleet(gateways=1, upstreams=8)
    block_together(fleet, [PART, OTHER])
    (gateway,) = fleet.gateways
    for part, at in ((PART, 20.0), (OTHER, 50.0)):
        block = gateway.guard.blocks[frozenset({part})]
        block.at = fleet.reactor.seconds() + at
    with pytest.raises(RequestBlockedError) as raised:
        gateway.guard.block_list.require_allowed(
            (PART, OTHER, 9), outcome=Outcome.NOT_RUN
        )
    assert raised.value.retry_after == pytest.approx(52.0)
