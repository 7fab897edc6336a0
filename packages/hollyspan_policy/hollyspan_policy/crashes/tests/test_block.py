"""Tests of the trials of blocks."""

import random

import pytest

from hollyspan_policy.crashes import Block
from hollyspan_policy.crashes import choose_trial_delay
from hollyspan_policy.crashes import choose_trial_slot
from hollyspan_policy.crashes import EndRecord
from hollyspan_policy.crashes import find_calm_time
from hollyspan_policy.crashes import has_met_losses
from hollyspan_policy.crashes import is_refuted

PART = 1
KEYS = frozenset({PART})


def is_calm(keys, ends, *, now, **options):
    return now >= find_calm_time(keys, ends, **options)


def build_ends(*times, part=PART):
    ends = [EndRecord(at=at) for at in times]
    for end in ends:
        end.requests = {(part,)}
    return ends


# Failure: sound parts whose ends fell on three moments were tried after 30 s,
# and items with them were open at the end.
@pytest.mark.parametrize("is_doubtful", [False, True])
def test_each_block_is_tried_soon_and_once_more(is_doubtful):
    block = Block(keys=KEYS, at=10.0, is_doubtful=is_doubtful)
    assert block.trial_at == 12.0
    block.note_failed_trial(now=13.0)
    assert block.trial_at == 19.0
    block.note_failed_trial(now=20.0)
    assert block.trial_at == 500.0


def list_trials(results, *, until):
    """Return the times of the trials of a block that is decided at 0."""
    block = Block(keys=KEYS, at=0.0)
    times = []
    for result in results:
        if block.trial_at > until:
            break
        times.append(block.trial_at)
        note = block.note_void_trial if result else block.note_failed_trial
        note(now=block.trial_at)
    return times


def test_early_trials_are_bounded_whatever_they_tell():
    for number in range(16):
        results = [bool(number >> bit & 1) for bit in range(4)]
        assert len(list_trials(results, until=30.0)) <= 3


def test_void_trials_do_not_make_the_next_one_rarer_at_once():
    assert choose_trial_delay(0, void_trials=2) == choose_trial_delay(0)
    assert choose_trial_delay(1, void_trials=1) == choose_trial_delay(1)


def test_void_trials_without_end_become_rare():
    delays = [choose_trial_delay(0, void_trials=n) for n in range(3, 12)]
    assert delays == sorted(delays)
    assert delays[0] == 30.0
    assert delays[-1] == 3600.0


# Failure: with 18 workers a trial came 45 s after the block.
@pytest.mark.parametrize("has_store", [False, True])
@pytest.mark.parametrize("count", [1, 4, 18, 40, 390])
def test_no_gateway_waits_long_for_its_slot(count, has_store):
    slots = [
        choose_trial_slot(rank / count, has_store=has_store)
        for rank in range(count)
    ]
    assert slots == sorted(slots)
    assert slots[0] == 0.0
    assert slots[-1] < 3.0


# Failure: gateways that repeated a block to each other took over the time of
# the message, which is late by its transport, and postponed the trial.
def test_a_repeated_block_does_not_postpone_its_trial():
    block = Block(keys=KEYS, at=10.0)
    block.merge(at=11.0, failed_trials=0, void_trials=0)
    assert block.trial_at == 12.0
    block.merge(at=13.0, failed_trials=1, void_trials=0)
    assert block.trial_at == 19.0


def test_ends_for_other_reasons_are_no_calm():
    others = build_ends(9.5, part=2)
    assert not is_calm(KEYS, others, now=10.0)
    assert is_calm(KEYS, others, now=10.6)
    assert is_calm(KEYS, build_ends(9.5), now=10.0)
    assert is_calm(KEYS, others, now=10.0, blocked=[frozenset({2})])


@pytest.mark.parametrize(
    ("survived_at", "expected"),
    [(11.1, True), (9.0, True), (8.6, True), (3.0, False)],
)
def test_a_survival_refutes_a_block_that_was_decided_without_it(
    survived_at, expected
):
    ends = build_ends(8.0, 9.0, 10.5)
    assert (
        is_refuted(KEYS, ends, decided_at=11.0, survived_at=survived_at)
        is expected
    )


def test_an_earlier_survival_refutes_no_block_whose_ends_are_not_known():
    ends = build_ends(8.0, 9.0)
    assert not is_refuted(KEYS, ends, decided_at=11.0, survived_at=9.5)


STEP_S = 0.05
VERDICT_DELAY_S = 0.2
MOMENT_S = 0.1


def run_trials(losses, *, seconds, duration, is_fatal):
    """Run the trials of a block beside losses of other upstreams.

    Returns
    -------
    list of float
        Times of the trials that have ended an upstream, or met a loss.
    float or None
        Time of the survival.
    """
    block = Block(keys=KEYS, at=0.0)
    ends = build_ends(*losses, part=2)
    times = []
    now = 0.0
    while now < seconds:
        now += STEP_S
        known = [end for end in ends if end.at <= now]
        block.has_met_losses = block.void_trials > 0 and has_met_losses(
            KEYS, known, at=block.at
        )
        if now < block.trial_at or (
            now < block.get_latest_trial_time(spread=1.0)
            and not is_calm(
                KEYS, known, now=now, void_trials=block.void_trials
            )
        ):
            continue
        met = [at for at in losses if now < at <= now + duration]
        if not met and not is_fatal:
            return times, now
        times.append(now)
        # The worst case: its upstream is always among those that are lost.
        now = met[0] if met else now + duration
        is_void = any(abs(at - now) <= MOMENT_S for at in losses)
        now += VERDICT_DELAY_S
        note = block.note_void_trial if is_void else block.note_failed_trial
        note(now=now)
    return times, None


DURATIONS = [0.05, 0.1, 0.5, 0.95]


# Failure: all early trials of a sound part met losses, and the next one came
# after 30 s, when its items had to be done.
@pytest.mark.parametrize("interval", [0.3, 0.7, 1.0, 1.3, 2.0, 2.2])
@pytest.mark.parametrize("duration", DURATIONS)
@pytest.mark.parametrize("count", range(3, 40, 3))
def test_calm_after_losses_leads_to_a_trial_soon(interval, duration, count):
    losses = [number * interval for number in range(count)]
    _, survived_at = run_trials(
        losses, seconds=200.0, duration=duration, is_fatal=False
    )
    assert survived_at is not None
    assert survived_at <= max(2.0, losses[-1] + 5.0)


# Failure: the same, where the times between losses differ.
@pytest.mark.parametrize("duration", DURATIONS)
def test_calm_after_drawn_losses_leads_to_a_trial_soon(duration):
    for seed in range(200):
        drawn = random.Random(seed)
        losses = []
        while not losses or losses[-1] < 30.0:
            last = losses[-1] if losses else 0.0
            losses.append(last + drawn.uniform(0.2, 4.0))
        _, survived_at = run_trials(
            losses, seconds=200.0, duration=duration, is_fatal=False
        )
        assert survived_at is not None
        assert survived_at <= losses[-1] + 5.0


@pytest.mark.parametrize("interval", [None, 0.3, 0.7, 1.0, 1.3, 2.0, 2.2, 5.0])
@pytest.mark.parametrize("duration", DURATIONS)
@pytest.mark.parametrize("lasting", [10.0, 16.0, 60.0])
def test_keys_that_end_upstreams_cost_three_beside_losses(
    interval, duration, lasting
):
    losses = []
    while interval and len(losses) * interval < lasting:
        losses.append(len(losses) * interval)
    times, _ = run_trials(
        losses, seconds=120.0, duration=duration, is_fatal=True
    )
    assert 2 <= len(times) <= 3
