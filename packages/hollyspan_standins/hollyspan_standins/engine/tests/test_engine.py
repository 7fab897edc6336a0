"""Tests of starting, resuming and cancelling streams."""

import pytest
from twisted.internet.task import Clock

from hollyspan_standins.common import AnswerError
from hollyspan_standins.engine.engine import Engine
from hollyspan_standins.engine.stream import Stream
from hollyspan_standins.engine.timing import Timing

STEP = 0.01
RESUME_SECONDS = 10.0


class Listener:
    """Notes what a connection would be told."""

    def __init__(self):
        self.events = 0
        self.ends = []

    def tell(self, stream):
        self.events = stream.events
        if stream.is_generated:
            self.ends.append("whole")

    def end_cancelled(self):
        self.ends.append("cancelled")

    def drop(self):
        self.ends.append("dropped")


class Bench:
    """An engine with one slot on a clock."""

    def __init__(self):
        self.clock = Clock()
        self.records = []
        self.engine = Engine(
            clock=self.clock,
            models=["m"],
            slots=1,
            timing=Timing(base=STEP, per_stream=0.0, prefill_per_token=0.0),
            cache_blocks=100,
            publish=lambda *event: None,
            resume_seconds=RESUME_SECONDS,
            record=lambda event, **f: self.records.append((event, f)),
        )

    def start(self, number, *, prompt="hello", model="m"):
        stream = Stream(
            number=number,
            key=f"job/{number}",
            request_class="batch",
            model=model,
            prompt=prompt,
            tokens=["t"] * 10,
            is_chat=False,
            include_usage=False,
            created=0,
        )
        listener = Listener()
        self.engine.start(stream, lambda: listener)
        return stream, listener

    def run_steps(self, count):
        self.clock.pump([STEP] * count)

    def list_events(self):
        return [event for event, _ in self.records]

    def resume(self, number, offset):
        listener = Listener()
        self.engine.resume(number, offset, lambda: listener)
        return listener


def read_code(info):
    return info.value.code


def test_a_stream_runs_to_its_end():
    bench = Bench()
    _, listener = bench.start("a")
    bench.run_steps(10)
    assert listener.ends == ["whole"]
    assert bench.list_events() == [
        "received",
        "admitted",
        "first_token",
        "finished",
    ]


def test_a_cancel_frees_the_slot_and_keeps_the_stream():
    bench = Bench()
    stream, listener = bench.start("a")
    bench.start("b")
    bench.run_steps(3)
    assert bench.engine.cancel(stream) == 3
    assert listener.ends == ["cancelled"]
    assert list(bench.engine.scheduler.running) == ["b"]
    assert bench.engine.find("a") is stream


def test_a_cancelled_stream_is_resumed_behind_those_that_wait():
    bench = Bench()
    stream, _ = bench.start("a")
    bench.start("b")
    bench.run_steps(3)
    bench.engine.cancel(stream)
    listener = bench.resume("a", 2)
    assert listener.events == 3
    assert stream.state == "waiting"
    bench.run_steps(20)
    assert listener.ends == ["whole"]
    assert listener.events == 11


def test_a_cancelled_stream_is_forgotten_after_the_window():
    bench = Bench()
    stream, _ = bench.start("a")
    bench.engine.cancel(stream)
    bench.clock.advance(RESUME_SECONDS)
    with pytest.raises(AnswerError) as info:
        bench.resume("a", 0)
    assert read_code(info) == "unknown_stream"


def test_a_stream_without_a_connection_runs_on_for_the_window():
    bench = Bench()
    stream, listener = bench.start("a", prompt="[[slow]]")
    bench.engine.lose_subscriber(stream, listener)
    bench.clock.advance(RESUME_SECONDS - STEP)
    assert stream.state == "running"
    bench.clock.advance(2 * STEP)
    assert stream.state == "cancelled"


def test_a_resume_within_the_window_goes_on_in_the_slot():
    bench = Bench()
    stream, listener = bench.start("a")
    bench.run_steps(2)
    bench.engine.lose_subscriber(stream, listener)
    bench.run_steps(3)
    resumed = bench.resume("a", 2)
    assert resumed.events == 5
    bench.run_steps(5)
    assert resumed.ends == ["whole"]
    assert listener.ends == []
    assert bench.list_events().count("admitted") == 1


def test_a_finished_stream_can_be_read_again():
    bench = Bench()
    bench.start("a")
    bench.run_steps(10)
    assert bench.resume("a", 4).ends == ["whole"]
    assert bench.list_events().count("finished") == 1


def test_a_resume_replaces_the_connection():
    bench = Bench()
    _, listener = bench.start("a")
    bench.resume("a", 0)
    assert listener.ends == ["dropped"]


def test_an_offset_past_the_end_is_refused():
    bench = Bench()
    bench.start("a")
    with pytest.raises(AnswerError) as info:
        bench.resume("a", 1)
    assert info.value.status == 416


def test_an_identifier_is_used_once():
    bench = Bench()
    stream, _ = bench.start("a")
    bench.engine.cancel(stream)
    bench.clock.advance(2 * RESUME_SECONDS)
    with pytest.raises(AnswerError) as info:
        bench.start("a")
    assert read_code(info) == "duplicate_stream"


@pytest.mark.parametrize(
    ("request_fields", "code"),
    [
        ({"prompt": "x [[fail]]"}, "invalid_prompt"),
        ({"model": "other"}, "model_not_found"),
    ],
)
def test_refusals_are_recorded(request_fields, code):
    bench = Bench()
    with pytest.raises(AnswerError) as info:
        bench.start("a", **request_fields)
    assert read_code(info) == code
    assert bench.list_events() == ["refused"]


def test_a_leaving_engine_refuses_starts_and_serves_resumes():
    bench = Bench()
    stream, _ = bench.start("a")
    bench.run_steps(2)
    bench.engine.cancel(stream)
    bench.engine.is_leaving = True
    with pytest.raises(AnswerError) as info:
        bench.start("b")
    assert read_code(info) == "leaving"
    assert info.value.headers == {"x-upstream-state": "leaving"}
    listener = bench.resume("a", 2)
    bench.run_steps(10)
    assert listener.ends == ["whole"]


def test_a_breaking_prompt_drops_the_connection_and_the_stream():
    bench = Bench()
    _, listener = bench.start("a", prompt="[[break]]")
    bench.run_steps(10)
    assert listener.ends == ["dropped"]
    assert listener.events == 4
    with pytest.raises(AnswerError):
        bench.resume("a", 0)
    assert bench.engine.scheduler.running == {}


def test_starts_fail_on_demand():
    bench = Bench()
    bench.engine.fail_starts = 1
    with pytest.raises(AnswerError) as info:
        bench.start("a")
    assert info.value.status == 500
    bench.start("a")
