"""Tests of arrivals and prompts."""

from random import Random

from hollyspan_standins.load import build_cooperative_mix
from hollyspan_standins.load import build_trust_mix
from hollyspan_standins.load import generate_arrivals
from hollyspan_standins.load import Mix
from hollyspan_standins.load import PromptSource
from hollyspan_standins.load.runner import plan_load

TARGETS = {"a": "http://a", "b": "http://b"}


def plan(**changes):
    options = {
        "targets": TARGETS,
        "mix": build_trust_mix(),
        "rate": 20,
        "seconds": 20,
        "seed": 1,
        "together": False,
    }
    return plan_load(**{**options, **changes})


def test_a_plan_is_determined_by_its_seed():
    assert plan() == plan()
    assert plan() != plan(seed=2)


def test_bursts_are_simultaneous_or_independent():
    def read_times(planned, name):
        return [time for time, target, _ in planned if target == name]

    together = plan(together=True)
    assert read_times(together, "a") == read_times(together, "b")
    apart = plan()
    assert read_times(apart, "a") != read_times(apart, "b")


def test_a_steady_mix_has_its_mean_rate():
    mix = Mix(model="m", burst_every_seconds=0, idle_every_seconds=0)
    times = generate_arrivals(Random(1), rate=50, seconds=100, mix=mix)
    assert 4500 < len(times) < 5500
    assert times == sorted(times)


def test_bursts_have_ten_times_the_rate_and_gaps_none():
    mix = Mix(
        model="m", burst_every_seconds=5, idle_every_seconds=5, idle_seconds=3
    )
    times = generate_arrivals(Random(1), rate=20, seconds=200, mix=mix)
    counts = [0] * 200
    for time in times:
        counts[int(time)] += 1
    assert max(counts) > 120
    assert counts.count(0) > 5


def test_prompts_share_prefixes():
    mix = build_cooperative_mix()
    source = PromptSource(random=Random(1), mix=mix)
    bodies = [source.draw() for _ in range(200)]
    prefixes = {body["messages"][0]["content"] for body in bodies}
    assert 1 < len(prefixes) <= mix.prefixes
    suffixes = {body["messages"][1]["content"] for body in bodies}
    assert len(suffixes) == 200
