"""Tests of the simulated engine: batching, queue, memory and prefix cache."""

import pytest

from hollyspan_standins.model import EngineModel
from hollyspan_standins.model import EngineStream
from hollyspan_standins.model import EngineTiming
from hollyspan_standins.model import SimulationClock

STEP_S = 0.002
PARTS = (("shared", 200), ("own", 250))


@pytest.fixture
def clock():
    return SimulationClock()


@pytest.fixture
def build_engine(clock):
    """Return a function that builds an engine with constant step times."""

    def build(**options):
        timing = EngineTiming(
            step=STEP_S,
            step_per_stream=0.0,
            step_per_context_token=0.0,
            prefill_rate=100_000.0,
            setup=0.0,
        )
        return EngineModel(
            clock=clock,
            name="e",
            data_centre="d",
            timing=timing,
            **options,
        )

    return build


class StreamRecorder:
    """Submits streams to an engine and records their events and ends."""

    def __init__(self, engine, clock):
        self.engine = engine
        self.clock = clock
        self.events = {}
        self.ends = {}

    def submit(self, name, *, tokens=20, parts=PARTS, resumed_tokens=0):
        stream = EngineStream(
            parts=parts,
            tokens=tokens,
            resumed_tokens=resumed_tokens,
            on_event=lambda stream: self.events.setdefault(name, []).append(
                (self.clock.now, stream.generated)
            ),
            on_end=lambda _, reason: self.ends.update({name: reason}),
        )
        self.engine.submit(stream)
        return stream


@pytest.fixture
def recorder(build_engine, clock):
    return StreamRecorder(build_engine(), clock)


def test_events_are_sent_for_the_first_token_and_every_ten_tokens(
    recorder, clock
):
    recorder.submit("a", tokens=25)
    clock.run(until=1.0)
    # The first step prefills the prompt and generates the first token.
    first = STEP_S + 450 / 100_000
    times = [first + steps * STEP_S for steps in (0, 10, 20, 24)]
    assert [count for _, count in recorder.events["a"]] == [1, 11, 21, 25]
    assert [at for at, _ in recorder.events["a"]] == pytest.approx(times)
    assert recorder.ends == {"a": "finished"}
    assert recorder.engine.load == (0, 0)
    assert recorder.engine.memory.used == 0


def test_a_cached_part_is_not_prefilled_again(recorder, clock):
    recorder.submit("a")
    clock.run(until=1.0)
    recorder.submit("b", parts=(("shared", 200), ("other", 250)))
    clock.run(until=2.0)
    first = [recorder.events[name][0][0] for name in "ab"]
    saved = (first[0] - 0.0) - (first[1] - 1.0)
    assert saved == pytest.approx(200 / 100_000)


def test_streams_wait_in_order_while_all_slots_are_taken(recorder, clock):
    for number in range(10):
        recorder.submit(number, tokens=20)
    clock.run(until=0.001)
    assert recorder.engine.load == (8, 2)
    clock.run(until=1.0)
    assert set(recorder.ends.values()) == {"finished"}
    assert recorder.events[8][0][0] > recorder.events[7][-1][0]


def test_a_full_queue_refuses_streams(recorder, clock):
    for number in range(8):
        recorder.submit(number, tokens=1000)
    clock.run(until=0.001)
    for number in range(25):
        recorder.submit(f"w{number}", tokens=1000)
    assert recorder.ends == {"w24": "refused"}


def test_a_later_stream_starts_with_the_next_step(recorder, clock):
    recorder.submit("a", tokens=1000)
    clock.run(until=0.1)
    recorder.submit("b", tokens=20)
    clock.run(until=0.2)
    assert recorder.events["b"][0][0] < 0.1 + 2 * STEP_S + 250 / 100_000
    # The only delay of a's stream is one step that also prefills b's prompt.
    gaps = [
        later[0] - earlier[0]
        for earlier, later in zip(
            recorder.events["a"], recorder.events["a"][1:]
        )
    ]
    assert max(gaps) == pytest.approx(10 * STEP_S + 250 / 100_000, abs=1e-9)


def test_a_removed_stream_frees_its_slot_for_the_next(recorder, clock):
    streams = [recorder.submit(number, tokens=1000) for number in range(9)]
    clock.run(until=0.1)
    assert recorder.engine.load == (8, 1)
    recorder.engine.remove(streams[0])
    clock.run(until=0.11)
    assert recorder.engine.load == (8, 0)
    assert 0 not in recorder.ends
    clock.run(until=10.0)
    assert len(recorder.ends) == 8
    assert recorder.engine.memory.used == 0


def test_a_resumed_stream_continues_after_its_last_token(recorder, clock):
    recorder.submit("a", tokens=40, resumed_tokens=20)
    clock.run(until=1.0)
    assert [count for _, count in recorder.events["a"]] == [21, 31, 40]


def test_the_newest_stream_is_preempted_when_memory_runs_out(
    build_engine, clock
):
    recorder = StreamRecorder(build_engine(memory_tokens=1000), clock)
    recorder.submit("a", tokens=400)
    clock.run(until=0.05)
    recorder.submit("b", tokens=400)
    clock.run(until=5.0)
    assert recorder.ends == {"a": "finished", "b": "finished"}
    assert recorder.engine.recomputed_tokens > 0
    assert recorder.events["b"][-1][0] > recorder.events["a"][-1][0]
    assert recorder.engine.memory.used == 0


def test_a_lost_engine_ends_all_streams_and_accepts_none(recorder, clock):
    for number in range(9):
        recorder.submit(number, tokens=1000)
    clock.run(until=0.1)
    recorder.engine.lose()
    recorder.submit("late")
    clock.run(until=1.0)
    assert set(recorder.ends.values()) == {"lost"}
    assert len(recorder.ends) == 10
