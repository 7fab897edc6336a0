"""Tests of continuous batching."""

from twisted.internet.task import Clock

from hollyspan_standins.engine.cache import PrefixCache
from hollyspan_standins.engine.scheduler import Scheduler
from hollyspan_standins.engine.stream import Stream
from hollyspan_standins.engine.timing import Timing

STEP_S = 0.01


class SchedulerHarness:
    """A scheduler with a simulated clock and records of its callbacks."""

    def __init__(self, **timing):
        self.clock = Clock()
        self.admitted = []
        self.tokens = []
        self.scheduler = Scheduler(
            clock=self.clock,
            slots=2,
            timing=Timing(
                **{
                    "base": STEP_S,
                    "per_stream": 0.0,
                    "prefill_per_token": 0.0,
                    **timing,
                }
            ),
            cache=PrefixCache(capacity=100, publish=lambda *event: None),
            on_admitted=lambda s: self.admitted.append(s.identifier),
            on_token=lambda s: self.tokens.append(s.identifier),
        )

    def add(
        self, identifier, *, tokens=3, prompt="hello", request_class="online"
    ):
        stream = Stream(
            identifier=identifier,
            key=identifier,
            request_class=request_class,
            model="m",
            prompt=prompt,
            tokens=["t"] * tokens,
            is_chat=False,
            include_usage=False,
            created=0,
        )
        self.scheduler.add(stream)
        return stream

    def run_steps(self, count):
        self.clock.pump([STEP_S] * count)


def test_each_step_generates_one_token_for_each_running_stream():
    harness = SchedulerHarness()
    harness.add("a")
    harness.add("b")
    harness.run_steps(2)
    assert harness.tokens == ["a", "b", "a", "b"]


def test_admission_is_first_come_first_served_whatever_the_class():
    harness = SchedulerHarness()
    for identifier in ("a", "b", "c"):
        harness.add(identifier, request_class="batch")
    harness.add("d", request_class="online")
    assert harness.admitted == ["a", "b"]
    assert harness.scheduler.count_classes() == {
        "running": 2,
        "waiting": 2,
        "running_classes": {"batch": 2},
        "waiting_classes": {"batch": 1, "online": 1},
    }
    harness.run_steps(3)
    assert harness.admitted == ["a", "b", "c", "d"]


def test_a_removed_stream_frees_its_slot_at_once():
    harness = SchedulerHarness()
    first = harness.add("a")
    harness.add("b")
    harness.add("c")
    harness.scheduler.remove(first)
    assert harness.admitted == ["a", "b", "c"]


def test_a_waiting_stream_can_be_removed():
    harness = SchedulerHarness()
    harness.add("a")
    harness.add("b")
    waiting = harness.add("c")
    harness.scheduler.remove(waiting)
    harness.run_steps(4)
    assert harness.admitted == ["a", "b"]
    assert harness.scheduler.step_call is None


def test_a_step_takes_longer_with_more_streams():
    timing = Timing(base=0.006, per_stream=0.0005)
    assert abs(timing.compute_step_seconds(8, 0) - 0.01) < 1e-9
    assert timing.compute_step_seconds(8, 1) > timing.compute_step_seconds(
        8, 0
    )
    faster = Timing(base=0.006, per_stream=0.0005, speed=2.0)
    assert abs(faster.compute_step_seconds(8, 0) - 0.005) < 1e-9


def test_prefill_delays_the_first_token_unless_it_is_cached():
    harness = SchedulerHarness(prefill_per_token=STEP_S / 16)
    prompt = "x" * 64 * 4
    harness.add("a", prompt=prompt, tokens=1)
    harness.run_steps(4)
    assert harness.tokens == []
    harness.run_steps(3)
    assert harness.tokens == ["a"]
    harness.add("b", prompt=prompt, tokens=1)
    harness.run_steps(1)
    assert harness.tokens == ["a", "b"]


def test_the_step_loop_stops_when_nothing_runs():
    harness = SchedulerHarness()
    harness.add("a", tokens=1)
    harness.run_steps(2)
    assert harness.clock.getDelayedCalls() == []


def test_a_slow_prompt_holds_its_slot():
    harness = SchedulerHarness()
    harness.add("a", prompt="[[slow]]")
    harness.add("b")
    harness.run_steps(3)
    assert harness.tokens == ["b", "b", "b"]
    assert list(harness.scheduler.running) == ["a"]
