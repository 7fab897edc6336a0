"""Tests of starting, resuming and cancelling streams."""

import pytest
from twisted.internet.task import Clock

from hollyspan_standins.common import AnswerError
from hollyspan_standins.engine.engine import Engine
from hollyspan_standins.engine.stream import Stream
from hollyspan_standins.engine.timing import Timing

STEP_S = 0.01
RESUME_WINDOW_S = 10.0


class RecordingSubscriber:
    """Subscriber that records events and ends instead of sending them."""

    def __init__(self):
        self.events = 0
        self.ends = []

    def update(self, stream):
        self.events = stream.events
        if stream.is_generated:
            self.ends.append("whole")

    def end_cancelled(self):
        self.ends.append("cancelled")

    def drop(self):
        self.ends.append("dropped")


class EngineHarness:
    """An engine with one slot and a simulated clock."""

    def __init__(self):
        self.clock = Clock()
        self.records = []
        self.engine = Engine(
            clock=self.clock,
            models=["m"],
            slots=1,
            timing=Timing(base=STEP_S, per_stream=0.0, prefill_per_token=0.0),
            cache_blocks=100,
            publish=lambda *event: None,
            resume_seconds=RESUME_WINDOW_S,
            record=lambda event, **f: self.records.append((event, f)),
        )

    def start(self, identifier, *, prompt="hello", model="m"):
        stream = Stream(
            identifier=identifier,
            key=f"job/{identifier}",
            request_class="batch",
            model=model,
            prompt=prompt,
            tokens=["t"] * 10,
            is_chat=False,
            include_usage=False,
            created=0,
        )
        subscriber = RecordingSubscriber()
        self.engine.start(stream, lambda: subscriber)
        return stream, subscriber

    def run_steps(self, count):
        self.clock.pump([STEP_S] * count)

    def list_events(self):
        return [event for event, _ in self.records]

    def resume(self, identifier, offset):
        subscriber = RecordingSubscriber()
        self.engine.resume(identifier, offset, lambda: subscriber)
        return subscriber


def read_code(info):
    return info.value.code


def test_a_stream_runs_to_its_end():
    harness = EngineHarness()
    _, subscriber = harness.start("a")
    harness.run_steps(10)
    assert subscriber.ends == ["whole"]
    assert harness.list_events() == [
        "received",
        "admitted",
        "first_token",
        "finished",
    ]


def test_a_cancel_frees_the_slot_and_keeps_the_stream():
    harness = EngineHarness()
    stream, subscriber = harness.start("a")
    harness.start("b")
    harness.run_steps(3)
    assert harness.engine.cancel(stream) == 3
    assert subscriber.ends == ["cancelled"]
    assert list(harness.engine.scheduler.running) == ["b"]
    assert harness.engine.find("a") is stream


def test_a_cancelled_stream_resumes_behind_waiting_streams():
    harness = EngineHarness()
    stream, _ = harness.start("a")
    harness.start("b")
    harness.run_steps(3)
    harness.engine.cancel(stream)
    subscriber = harness.resume("a", 2)
    assert subscriber.events == 3
    assert stream.state == "waiting"
    harness.run_steps(20)
    assert subscriber.ends == ["whole"]
    assert subscriber.events == 11


def test_a_cancelled_stream_is_discarded_after_the_resume_window():
    harness = EngineHarness()
    stream, _ = harness.start("a")
    harness.engine.cancel(stream)
    harness.clock.advance(RESUME_WINDOW_S)
    with pytest.raises(AnswerError) as info:
        harness.resume("a", 0)
    assert read_code(info) == "unknown_stream"


def test_a_disconnected_stream_runs_until_the_resume_window_ends():
    harness = EngineHarness()
    stream, subscriber = harness.start("a", prompt="[[slow]]")
    harness.engine.handle_disconnect(stream, subscriber)
    harness.clock.advance(RESUME_WINDOW_S - STEP_S)
    assert stream.state == "running"
    harness.clock.advance(2 * STEP_S)
    assert stream.state == "cancelled"


def test_a_resume_within_the_window_keeps_the_slot():
    harness = EngineHarness()
    stream, subscriber = harness.start("a")
    harness.run_steps(2)
    harness.engine.handle_disconnect(stream, subscriber)
    harness.run_steps(3)
    resumed = harness.resume("a", 2)
    assert resumed.events == 5
    harness.run_steps(5)
    assert resumed.ends == ["whole"]
    assert subscriber.ends == []
    assert harness.list_events().count("admitted") == 1


def test_a_finished_stream_can_be_read_again():
    harness = EngineHarness()
    harness.start("a")
    harness.run_steps(10)
    assert harness.resume("a", 4).ends == ["whole"]
    assert harness.list_events().count("finished") == 1


def test_a_resume_replaces_the_connection():
    harness = EngineHarness()
    _, subscriber = harness.start("a")
    harness.resume("a", 0)
    assert subscriber.ends == ["dropped"]


def test_an_offset_past_the_end_is_refused():
    harness = EngineHarness()
    harness.start("a")
    with pytest.raises(AnswerError) as info:
        harness.resume("a", 1)
    assert info.value.status == 416


def test_an_identifier_is_used_once():
    harness = EngineHarness()
    stream, _ = harness.start("a")
    harness.engine.cancel(stream)
    harness.clock.advance(2 * RESUME_WINDOW_S)
    with pytest.raises(AnswerError) as info:
        harness.start("a")
    assert read_code(info) == "duplicate_stream"


@pytest.mark.parametrize(
    ("request_fields", "code"),
    [
        ({"prompt": "x [[fail]]"}, "invalid_prompt"),
        ({"model": "other"}, "model_not_found"),
    ],
)
def test_refusals_are_recorded(request_fields, code):
    harness = EngineHarness()
    with pytest.raises(AnswerError) as info:
        harness.start("a", **request_fields)
    assert read_code(info) == code
    assert harness.list_events() == ["refused"]


def test_a_leaving_engine_refuses_starts_and_serves_resumes():
    harness = EngineHarness()
    stream, _ = harness.start("a")
    harness.run_steps(2)
    harness.engine.cancel(stream)
    harness.engine.is_leaving = True
    with pytest.raises(AnswerError) as info:
        harness.start("b")
    assert read_code(info) == "leaving"
    assert info.value.headers == {"x-upstream-state": "leaving"}
    subscriber = harness.resume("a", 2)
    harness.run_steps(10)
    assert subscriber.ends == ["whole"]


def test_a_breaking_prompt_drops_the_connection_and_the_stream():
    harness = EngineHarness()
    _, subscriber = harness.start("a", prompt="[[break]]")
    harness.run_steps(10)
    assert subscriber.ends == ["dropped"]
    assert subscriber.events == 4
    with pytest.raises(AnswerError):
        harness.resume("a", 0)
    assert harness.engine.scheduler.running == {}


def test_starts_fail_on_demand():
    harness = EngineHarness()
    harness.engine.fail_starts = 1
    with pytest.raises(AnswerError) as info:
        harness.start("a")
    assert info.value.status == 500
    harness.start("a")
