"""Tests of the decisions about a workspace's rate."""

from hypothesis import given
from hypothesis import strategies
import pytest

from hollyspan_policy.workspace_rates import choose_keepers
from hollyspan_policy.workspace_rates import estimate_heard_part
from hollyspan_policy.workspace_rates import estimate_return
from hollyspan_policy.workspace_rates import RateGate
from hollyspan_policy.workspace_rates import RateLedger
from hollyspan_policy.workspace_rates import RateUse

RATE = 10.0
CAPACITY = 20.0


@given(
    gaps=strategies.lists(strategies.floats(0.0, 1.0), max_size=200),
    is_kept=strategies.booleans(),
)
def test_a_gate_admits_no_more_than_the_whole_limit(gaps, is_kept):
    gate = RateGate(rate=RATE, capacity=CAPACITY, phase=0.5, now=0.0)
    gate.set_keepers(["a", "b"] if is_kept else [])
    now = 0.0
    for gap in gaps:
        now += gap
        gate.admit(members=1, now=now)
    assert gate.admitted <= CAPACITY + RATE * now + 1e-6
    assert gate.admitted + gate.refused == len(gaps)


@given(phase=strategies.floats(0.0, 0.999), count=strategies.integers(0, 99))
def test_steps_tell_the_count_within_one_step(phase, count):
    gate = RateGate(rate=RATE, capacity=CAPACITY, phase=phase, now=0.0)
    gate.step = 8
    gate.spend(count, now=0.0)
    assert abs(gate.count_told() - count) < 8


def build_use(admitted, *, demand=0.0, fraction=1.0, recent=0):
    return RateUse(
        admitted=admitted,
        refused=0,
        demand=demand,
        recent=recent,
        fraction=fraction,
    )


@given(counts=strategies.lists(strategies.integers(0, 500), min_size=1))
def test_a_lost_message_is_made_good_by_the_next(counts):
    ledgers = [
        RateLedger(rate=RATE, capacity=CAPACITY, now=0.0) for _ in range(2)
    ]
    counts = sorted(counts)
    for ledger, heard in zip(ledgers, (counts, counts[-1:])):
        for count in [0, *heard]:
            ledger.note_use("d", build_use(count), incarnation=1, now=0.0)
    assert ledgers[0].tokens == ledgers[1].tokens


def test_a_new_keeper_goes_on_with_the_fraction_before_it():
    ledger = RateLedger(rate=RATE, capacity=CAPACITY, now=0.0)
    use = build_use(900, demand=20.0, fraction=0.2, recent=4)
    ledger.note_use("d", use, incarnation=1, now=0.0)
    assert ledger.choose_fraction(live_part=1.0, now=0.0) <= 0.2


def test_a_keeper_in_a_parted_fleet_begins_empty():
    ledger = RateLedger(rate=RATE, capacity=CAPACITY, now=0.0, live_part=0.5)
    assert ledger.tokens == 0.0


# Failure: after all daemons had ended at once, the whole burst was given out
# once more.
def test_a_keeper_in_a_fleet_that_has_started_again_has_no_second_burst():
    for seconds, tokens in ((0.0, 0.0), (0.5, 0.5 * RATE), (1e6, CAPACITY)):
        ledger = RateLedger(
            rate=RATE, capacity=CAPACITY, now=0.0, known_seconds=seconds
        )
        assert ledger.tokens == min(CAPACITY, tokens)


def test_keepers_are_in_two_regions():
    candidates = {f"g{number}": number % 3 for number in range(30)}
    for number in range(50):
        first, second = choose_keepers(f"w{number}", candidates)
        assert candidates[first] != candidates[second]


@pytest.mark.parametrize("interval", [0.3, 2.9, 4.0])
@pytest.mark.parametrize("seconds", [1.2, 2.0, 3.5, 6.0])
def test_half_of_a_fleet_that_is_not_heard_shows(interval, seconds):
    now = 100.0
    heard = [(now - interval * part / 40, interval) for part in range(40)]
    lost = [(last - seconds, interval) for last, _ in heard]
    assert estimate_heard_part(heard, now=now) == 1.0
    part = estimate_heard_part([*heard, *lost], now=now)
    assert 0.3 <= part <= 0.75


def test_returns_are_spread_over_the_time_that_they_take():
    times = [estimate_return(fraction=0.2, key=f"q{n}") for n in range(400)]
    # What one second refuses takes the rate four seconds.
    assert 1.8 < sum(times) / len(times) < 2.4
    assert 0.1 <= min(times) < max(times) <= 4.1
