"""Tests of the rules that are checked on every run."""

import pytest

from hollyspan_gateway.jobs.records import build_result_key
from hollyspan_standins.search.checkers import find_text_fault
from hollyspan_standins.search.checkers import list_violations
from hollyspan_standins.search.clock import ProcessClock
from hollyspan_standins.search.clock import SearchClock
from hollyspan_standins.search.scenario import JobPlan
from hollyspan_standins.search.scenario import Scenario
from hollyspan_standins.search.world import START_S
from hollyspan_standins.search.world import World


@pytest.fixture
def world():
    """A world in which one job of two items has been done."""
    plan = JobPlan(name="j", at=0.1, items=2, events=3, parts=(7,))
    world = World(
        scenario=Scenario(
            seed=1, fronts=1, workers=2, upstreams=2, jobs=[plan]
        )
    )
    world.clock.run(until=START_S + 4.0)
    return world


def list_keys(world):
    return [violation.key for violation in list_violations(world)]


def test_a_run_without_faults_breaks_no_rule(world):
    assert world.is_complete()
    assert list_keys(world) == []


def test_an_item_without_a_result_is_reported(world):
    del world.store.entries[build_result_key("j", "ji1")]
    assert list_keys(world) == ["open: believes_stored"]


def test_a_second_result_is_reported(world):
    key = build_result_key("j", "ji0")
    entry = world.store.entries[key]
    world.store.change({key: entry.token + entry.content})
    assert list_keys(world) == ["result: written twice"]


def test_a_result_that_lacks_an_event_is_reported(world):
    world.store.entries[build_result_key("j", "ji0")].content = b"done\nv1.ji0"
    assert list_keys(world) == ["result: fewer events than whole"]


def test_late_sends_of_a_fatal_part_are_reported(world):
    world.fatal_parts = {9}
    world.ended = [(START_S + at, "u1", (9,)) for at in range(5)]
    world.arrivals = [(START_S + 9.0, "u1", "x", (9,))] * 3
    assert list_keys(world) == []
    world.arrivals *= 2
    assert list_keys(world) == ["fatal part: sent on"]


@pytest.mark.parametrize(
    "texts, fault",
    [
        (["v1.x.1", "v1.x.2"], None),
        (["v1.x.1"], "fewer events than whole"),
        (["v1.x.1", "v2.x.2"], "mixed versions"),
        (["v1.x.1", "v1.x.3"], "wrong text"),
    ],
)
def test_texts_are_compared(texts, fault):
    assert find_text_fault(texts, "x", 2) == fault


class Process:
    """A process that stands still or not."""

    def __init__(self):
        self.is_running = True
        self.parked = []


def test_calls_of_a_process_that_stands_still_wait():
    clock = SearchClock(now=0.0, on_error=None)
    process = Process()
    process_clock = ProcessClock(clock=clock, process=process)
    made = []
    calls = [
        process_clock.callLater(delay, made.append, delay)
        for delay in (1.0, 2.0, 5.0)
    ]
    process.is_running = False
    clock.run(until=3.0)
    assert made == [] and calls[0].active()
    calls[1].cancel()
    process.is_running = True
    process_clock.resume()
    clock.run(until=4.0)
    assert made == [1.0]
    clock.run(until=6.0)
    assert made == [1.0, 5.0]
