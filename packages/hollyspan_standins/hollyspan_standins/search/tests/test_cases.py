"""Scenarios that the search has found and reduced."""

import pytest

from hollyspan_standins.search.driver import play_scenario
from hollyspan_standins.search.scenario import Fault
from hollyspan_standins.search.scenario import JobPlan
from hollyspan_standins.search.scenario import Scenario
from hollyspan_standins.search.scenario import When


def list_violations(scenario):
    return [str(each) for each in play_scenario(scenario).violations]


def build_loss(number, delay, share, salt, **fields):
    """Build a loss of upstreams some time after so many accepted jobs."""
    return Fault(
        kind="end",
        when=When(event="job:accepted", number=number, delay=delay),
        share=share,
        salt=salt,
        spared=1,
        **fields,
    )


# Failure: a block that came within milliseconds of a survival of its part
# ended and began with each heartbeat, and broke off the items each time.
@pytest.mark.parametrize("seed, peer_seconds", [(4, 0.001), (5, 0.04)])
def test_a_block_beside_a_survival_does_not_begin_again_and_again(
    seed, peer_seconds
):
    shapes = [
        (1, 20, (10000,)),
        (1, 20, (1,)),
        (1, 4, (10002,)),
        (6, 20, (10001, 10003)),
        (1, 20, ()),
        (1, 4, (1,)),
        (14, 10, (1,)),
        (12, 20, (10001, 10007)),
    ]
    times = (0.29, 0.235, 0.264, 0.222, 0.296, 0.267, 0.218, 0.24)
    jobs = [
        JobPlan(name=f"j{n}", at=at, items=items, events=events, parts=parts)
        for n, (at, (items, events, parts)) in enumerate(zip(times, shapes))
    ]
    faults = [
        build_loss(8, delay, share, salt, seconds=0.5, back="elsewhere")
        for delay, share, salt in (
            (0.119, 1.0, 401),
            (1.069, 1 / 3, 16),
            (1.466, 1 / 3, 718),
        )
    ]
    scenario = Scenario(
        seed=seed,
        fronts=4,
        workers=4,
        upstreams=4,
        versions=2,
        streams=2.0,
        stream_events=6,
        stream_seconds=10.745,
        peer_seconds=peer_seconds,
        page_size=8,
        jobs=jobs,
        faults=faults,
    )
    assert list_violations(scenario) == []


# Failure: losses in series blocked the sound part of a job as certain.
def test_a_job_in_flight_at_losses_in_series_is_done():
    jobs = [
        JobPlan(name="j0", at=0.257, items=8, events=4, parts=(10000,)),
        JobPlan(name="j1", at=0.21, items=6, events=20, parts=(10001,)),
    ]
    faults = [
        build_loss(1, delay, share, salt, back="other")
        for delay, share, salt in (
            (0.185, 1 / 3, 149),
            (0.525, 1.0, 792),
            (0.601, 1 / 3, 825),
            (2.22, 1.0, 570),
        )
    ]
    scenario = Scenario(
        seed=103,
        fronts=1,
        workers=1,
        upstreams=11,
        stream_events=6,
        jobs=jobs,
        faults=faults,
    )
    assert list_violations(scenario) == []


# Failure: a job whose part ends all upstreams of a small service at once, and
# again whenever they are back, was sent on.
@pytest.mark.parametrize("seed", [1, 4, 9, 12])
def test_a_part_that_ends_a_whole_small_service_is_blocked(seed):
    job = JobPlan(
        name="j0", at=4.0, items=9, events=10, parts=(10,), is_fatal=True
    )
    scenario = Scenario(
        seed=seed, fronts=3, workers=3, upstreams=4, streams=8.0, jobs=[job]
    )
    assert list_violations(scenario) == []
