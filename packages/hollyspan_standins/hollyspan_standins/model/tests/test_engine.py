"""The model of an engine: batching, queue, memory and kept prompts."""

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
    """Return a function that builds an engine with simple times."""

    def build(**options):
        timing = EngineTiming(
            step=STEP_S,
            step_for_slot=0.0,
            step_for_context=0.0,
            read_rate=100_000.0,
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


class Reader:
    """Sends streams and keeps what comes of them."""

    def __init__(self, engine, clock):
        self.engine = engine
        self.clock = clock
        self.events = {}
        self.ends = {}

    def submit(self, name, *, tokens=20, parts=PARTS, done=0):
        stream = EngineStream(
            parts=parts,
            tokens=tokens,
            done=done,
            on_event=lambda stream: self.events.setdefault(name, []).append(
                (self.clock.now, stream.generated)
            ),
            on_end=lambda _, reason: self.ends.update({name: reason}),
        )
        self.engine.submit(stream)
        return stream


@pytest.fixture
def reader(build_engine, clock):
    return Reader(build_engine(), clock)


def test_events_come_with_the_first_token_and_each_ten_more(reader, clock):
    reader.submit("a", tokens=25)
    clock.run(until=1.0)
    # The prompt is read in the first step, which makes the first token.
    first = STEP_S + 450 / 100_000
    times = [first + steps * STEP_S for steps in (0, 10, 20, 24)]
    assert [count for _, count in reader.events["a"]] == [1, 11, 21, 25]
    assert [at for at, _ in reader.events["a"]] == pytest.approx(times)
    assert reader.ends == {"a": "finished"}
    assert reader.engine.load == (0, 0)
    assert reader.engine.memory.used == 0


def test_a_kept_part_is_not_read_again(reader, clock):
    reader.submit("a")
    clock.run(until=1.0)
    reader.submit("b", parts=(("shared", 200), ("other", 250)))
    clock.run(until=2.0)
    first = [reader.events[name][0][0] for name in "ab"]
    saved = (first[0] - 0.0) - (first[1] - 1.0)
    assert saved == pytest.approx(200 / 100_000)


def test_what_comes_when_all_slots_are_taken_waits_in_order(reader, clock):
    for number in range(10):
        reader.submit(number, tokens=20)
    clock.run(until=0.001)
    assert reader.engine.load == (8, 2)
    clock.run(until=1.0)
    assert set(reader.ends.values()) == {"finished"}
    assert reader.events[8][0][0] > reader.events[7][-1][0]


def test_a_full_queue_refuses(reader, clock):
    for number in range(8):
        reader.submit(number, tokens=1000)
    clock.run(until=0.001)
    for number in range(25):
        reader.submit(f"w{number}", tokens=1000)
    assert reader.ends == {"w24": "refused"}


def test_one_that_comes_later_starts_with_the_next_step(reader, clock):
    reader.submit("a", tokens=1000)
    clock.run(until=0.1)
    reader.submit("b", tokens=20)
    clock.run(until=0.2)
    assert reader.events["b"][0][0] < 0.1 + 2 * STEP_S + 250 / 100_000
    # Reading b's prompt costs a one longer step and nothing else.
    gaps = [
        later[0] - earlier[0]
        for earlier, later in zip(reader.events["a"], reader.events["a"][1:])
    ]
    assert max(gaps) == pytest.approx(10 * STEP_S + 250 / 100_000, abs=1e-9)


def test_a_removed_stream_frees_its_slot_for_the_next(reader, clock):
    streams = [reader.submit(number, tokens=1000) for number in range(9)]
    clock.run(until=0.1)
    assert reader.engine.load == (8, 1)
    reader.engine.remove(streams[0])
    clock.run(until=0.11)
    assert reader.engine.load == (8, 0)
    assert 0 not in reader.ends
    clock.run(until=10.0)
    assert len(reader.ends) == 8
    assert reader.engine.memory.used == 0


def test_a_resumed_stream_goes_on_at_its_token(reader, clock):
    reader.submit("a", tokens=40, done=20)
    clock.run(until=1.0)
    assert [count for _, count in reader.events["a"]] == [21, 31, 40]


def test_the_newest_stream_gives_way_when_memory_runs_out(build_engine, clock):
    reader = Reader(build_engine(memory_tokens=1000), clock)
    reader.submit("a", tokens=400)
    clock.run(until=0.05)
    reader.submit("b", tokens=400)
    clock.run(until=5.0)
    assert reader.ends == {"a": "finished", "b": "finished"}
    assert reader.engine.read_again > 0
    assert reader.events["b"][-1][0] > reader.events["a"][-1][0]
    assert reader.engine.memory.used == 0


def test_a_lost_engine_breaks_off_all_and_takes_nothing(reader, clock):
    for number in range(9):
        reader.submit(number, tokens=1000)
    clock.run(until=0.1)
    reader.engine.lose()
    reader.submit("late")
    clock.run(until=1.0)
    assert set(reader.ends.values()) == {"lost"}
    assert len(reader.ends) == 10
