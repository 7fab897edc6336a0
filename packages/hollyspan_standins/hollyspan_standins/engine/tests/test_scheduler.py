"""Tests of continuous batching."""

from twisted.internet.task import Clock

from hollyspan_standins.engine.cache import PrefixCache
from hollyspan_standins.engine.scheduler import Scheduler
from hollyspan_standins.engine.stream import Stream
from hollyspan_standins.engine.timing import Timing

STEP = 0.01


class Bench:
    """A scheduler on a clock, with what it reported."""

    def __init__(self, **timing):
        self.clock = Clock()
        self.admitted = []
        self.tokens = []
        self.scheduler = Scheduler(
            clock=self.clock,
            slots=2,
            timing=Timing(
                **{
                    "base": STEP,
                    "per_stream": 0.0,
                    "prefill_per_token": 0.0,
                    **timing,
                }
            ),
            cache=PrefixCache(capacity=100, publish=lambda *event: None),
            on_admitted=lambda s: self.admitted.append(s.number),
            on_token=lambda s: self.tokens.append(s.number),
        )

    def add(self, number, *, tokens=3, prompt="hello", request_class="online"):
        stream = Stream(
            number=number,
            key=number,
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
        self.clock.pump([STEP] * count)


def test_each_step_makes_one_token_for_each_running_stream():
    bench = Bench()
    bench.add("a")
    bench.add("b")
    bench.run_steps(2)
    assert bench.tokens == ["a", "b", "a", "b"]


def test_admission_is_first_come_first_served_whatever_the_class():
    bench = Bench()
    for number in ("a", "b", "c"):
        bench.add(number, request_class="batch")
    bench.add("d", request_class="online")
    assert bench.admitted == ["a", "b"]
    assert bench.scheduler.count_classes() == {
        "running": 2,
        "waiting": 2,
        "running_classes": {"batch": 2},
        "waiting_classes": {"batch": 1, "online": 1},
    }
    bench.run_steps(3)
    assert bench.admitted == ["a", "b", "c", "d"]


def test_a_removed_stream_frees_its_slot_at_once():
    bench = Bench()
    first = bench.add("a")
    bench.add("b")
    bench.add("c")
    bench.scheduler.remove(first)
    assert bench.admitted == ["a", "b", "c"]


def test_a_waiting_stream_can_be_removed():
    bench = Bench()
    bench.add("a")
    bench.add("b")
    waiting = bench.add("c")
    bench.scheduler.remove(waiting)
    bench.run_steps(4)
    assert bench.admitted == ["a", "b"]
    assert bench.scheduler.step_call is None


def test_a_step_takes_longer_with_more_streams():
    timing = Timing(base=0.006, per_stream=0.0005)
    assert abs(timing.measure_step(8, 0) - 0.01) < 1e-9
    assert timing.measure_step(8, 1) > timing.measure_step(8, 0)
    faster = Timing(base=0.006, per_stream=0.0005, speed=2.0)
    assert abs(faster.measure_step(8, 0) - 0.005) < 1e-9


def test_prefill_delays_the_first_token_unless_it_is_cached():
    bench = Bench(prefill_per_token=STEP / 16)
    prompt = "x" * 64 * 4
    bench.add("a", prompt=prompt, tokens=1)
    bench.run_steps(4)
    assert bench.tokens == []
    bench.run_steps(3)
    assert bench.tokens == ["a"]
    bench.add("b", prompt=prompt, tokens=1)
    bench.run_steps(1)
    assert bench.tokens == ["a", "b"]


def test_the_loop_rests_when_nothing_runs():
    bench = Bench()
    bench.add("a", tokens=1)
    bench.run_steps(2)
    assert bench.clock.getDelayedCalls() == []


def test_a_slow_prompt_holds_its_slot():
    bench = Bench()
    bench.add("a", prompt="[[slow]]")
    bench.add("b")
    bench.run_steps(3)
    assert bench.tokens == ["b", "b", "b"]
    assert list(bench.scheduler.running) == ["a"]
