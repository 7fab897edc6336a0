"""Tests of the service-level counters."""

from hypothesis import given
from hypothesis import strategies
import pytest

from hollyspan_entry.burn import build_report
from hollyspan_entry.burn import BurnCounters
from hollyspan_entry.burn import Window

EVENTS = strategies.lists(
    strategies.tuples(strategies.integers(0, 40), strategies.booleans())
)


@given(EVENTS, strategies.integers(1, 10))
def test_a_window_counts_the_last_minutes(events, minutes):
    events.sort(key=lambda event: event[0])
    window = Window(minute=0, size=10)
    for minute, good in events:
        window.record(good=good, minute=minute)
    recent = [good for minute, good in events if minute > 40 - minutes]
    counted = window.count(minutes=minutes, minute=40)
    assert counted == (sum(recent), len(recent))


def test_the_report_sums_over_daemons():
    summaries = []
    for good in (True, False):
        burn = BurnCounters(data_centre="attiki-a", clock=lambda: 0.0)
        burn.record(service="m", kind="first_token", good=good)
        summaries.append(burn.summarise())
    objective = {"name": "o", "kind": "first_token", "target": 0.75}
    short, long = build_report(summaries, objectives=[objective])
    assert (short["window_s"], long["window_s"]) == (3600, 86400)
    assert (short["good"], short["total"]) == (1, 2)
    assert short["burn_rate"] == pytest.approx(2.0)
    assert short["budget_left"] == pytest.approx(-1.0)
