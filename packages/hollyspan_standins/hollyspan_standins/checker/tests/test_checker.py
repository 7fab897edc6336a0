"""Tests that each check finds its violation and passes valid histories."""

import pytest

from hollyspan_standins.checker import find_blocked_online
from hollyspan_standins.checker import find_decreasing_generations
from hollyspan_standins.checker import find_duplicate_results
from hollyspan_standins.checker import find_false_refusals
from hollyspan_standins.checker import find_late_dispatches
from hollyspan_standins.checker import find_lost_results
from hollyspan_standins.checker import find_repeated_runs
from hollyspan_standins.checker import find_unfinished_items
from hollyspan_standins.checker import find_wrong_answers


def list_subjects(violations):
    return [violation.subject for violation in violations]


def build_record(time, event, *, stream="s", running=None, **fields):
    return {
        "time": time,
        "engine": "engine-1",
        "event": event,
        "stream": stream,
        "key": f"key/{stream}",
        "class": "online",
        "running_classes": running or {},
        **fields,
    }


def test_unfinished_items():
    results = [{"custom_id": "a"}, {"custom_id": "x"}]
    violations = find_unfinished_items(["a", "b"], results)
    assert list_subjects(violations) == ["b", "x"]
    assert find_unfinished_items(["a", "x"], results) == []


def test_duplicate_results():
    once = [{"custom_id": "a"}, {"custom_id": "b"}]
    assert find_duplicate_results(once) == []
    assert list_subjects(find_duplicate_results(once + once[:1])) == ["a"]


def test_lost_results():
    before = [{"custom_id": "a", "n": 1}, {"custom_id": "b", "n": 1}]
    assert find_lost_results(before, before) == []
    after = [{"custom_id": "b", "n": 2}]
    assert list_subjects(find_lost_results(before, after)) == ["a", "b"]


def test_repeat_runs():
    records = [
        build_record(1, "received", stream="a"),
        build_record(2, "refused", stream="a"),
        build_record(3, "received", stream="b"),
    ]
    assert find_repeated_runs(records) == []
    records.append(build_record(4, "received", stream="b"))
    assert list_subjects(find_repeated_runs(records)) == ["key/b"]
    assert find_repeated_runs(records, keys=["key/a"]) == []


def test_dispatches_after_a_time():
    records = [
        build_record(1, "received", stream="early"),
        build_record(3, "received", stream="start"),
        build_record(3, "refused", stream="refused"),
        build_record(3, "resumed", stream="still", readmitted=False),
        build_record(3, "resumed", stream="anew", readmitted=True),
        build_record(3, "finished", stream="early"),
    ]
    late = find_late_dispatches(records, 2, upstream="engine-1")
    assert list_subjects(late) == ["key/start", "key/refused", "key/anew"]
    assert find_late_dispatches(records, 2, upstream="engine-2") == []
    late = find_late_dispatches(records, 2, key_prefix="key/a")
    assert list_subjects(late) == ["key/anew"]


def test_an_online_request_behind_batch_is_found():
    records = [
        build_record(1.0, "received", running={"batch": 8}),
        build_record(2.0, "admitted", running={"batch": 7, "online": 1}),
    ]
    assert list_subjects(find_blocked_online(records)) == ["key/s"]
    assert find_blocked_online(records, notice_seconds=1.0) == []


@pytest.mark.parametrize(("delay", "expected"), [(0.9, ["key/s"]), (1.0, [])])
def test_processor_delays_do_not_count_as_waiting(delay, expected):
    records = [
        build_record(1.0, "received", running={"batch": 8}),
        build_record(2.0, "admitted", running={"batch": 7, "online": 1}),
    ]
    violations = find_blocked_online(
        records, measure_processor_wait=lambda engine, since, until: delay
    )
    assert list_subjects(violations) == expected


def test_batch_preempted_in_time_is_no_violation():
    records = [
        build_record(1.0, "received", running={"batch": 8}),
        build_record(
            1.005,
            "cancelled",
            stream="b",
            running={"online": 8},
            **{"class": "batch"},
        ),
        build_record(3.0, "admitted", running={"online": 8}),
    ]
    assert find_blocked_online(records) == []


def test_batch_admitted_while_online_waits_is_found():
    records = [
        build_record(1.0, "received", running={"online": 8}),
        build_record(
            2.0,
            "admitted",
            stream="b",
            running={"online": 7, "batch": 1},
            **{"class": "batch"},
        ),
        build_record(3.0, "admitted", running={"online": 8}),
    ]
    assert list_subjects(find_blocked_online(records)) == ["key/s"]


def test_an_unadmitted_online_request_is_found():
    records = [
        build_record(1.0, "received", running={"batch": 8}),
        build_record(
            5.0,
            "finished",
            stream="b",
            running={"batch": 7},
            **{"class": "batch"},
        ),
    ]
    assert list_subjects(find_blocked_online(records)) == ["key/s"]


@pytest.mark.parametrize(
    ("event", "time", "expected"),
    [
        ("received", 1.0, ["key/s"]),
        ("received", 3.0, []),
        ("refused", 1.0, []),
    ],
)
def test_false_refusals(event, time, expected):
    records = [build_record(time, event)]
    violations = find_false_refusals([("key/s", 2.0)], records)
    assert list_subjects(violations) == expected


def test_falling_generations():
    rising = [("a", 1, 1, 1), ("a", 2, 2, 1), ("b", 2, 2, 1), ("a", 3, 3, 2)]
    assert find_decreasing_generations(rising) == []
    fallen = find_decreasing_generations([*rising, ("a", 4, 4, 1)])
    assert list_subjects(fallen) == ["a"]


def test_overlapping_observations_have_no_order():
    seen = [("a", 1, 3, 2), ("a", 2, 4, 1)]
    assert find_decreasing_generations(seen) == []
    assert find_decreasing_generations([*seen, ("a", 3.5, 4, 1)])


def test_wrong_answers():
    assert find_wrong_answers([("a", "text", "text")]) == []
    answers = [("a", "tent", "text"), ("b", "te", "text")]
    violations = find_wrong_answers(answers)
    assert [v.detail for v in violations] == [
        "differs at character 2",
        "2 characters in place of 4",
    ]
