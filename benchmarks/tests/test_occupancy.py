"""Tests of the use of slots computed from records."""

import pytest

from benchmarks.occupancy import measure_occupancy


def build_record(event, time, stream, **fields):
    values = {
        "engine": "e1",
        "class": "batch",
        "key": f"j/{stream}",
        "offset": 0,
        "waited_steps": 0,
        "waited_seconds": 0.0,
        "running_classes": {},
    }
    return {"event": event, "time": time, "stream": stream, **values, **fields}


def measure(records):
    return measure_occupancy(records, slots=2, start=0.0, end=10.0)


def test_free_share_used_excludes_online_slot_time():
    figures = measure(
        [
            build_record("admitted", 0.0, "o", **{"class": "online"}),
            build_record("admitted", 0.0, "b"),
            build_record("finished", 5.0, "o", **{"class": "online"}),
            build_record("finished", 6.0, "b", offset=40),
        ]
    )
    assert figures["free_share_used"] == pytest.approx(6 / 15)
    assert figures["batch_tokens"] == 40


def test_only_restarted_streams_count_as_redone():
    resumed = [
        build_record("admitted", 0.0, "b"),
        build_record("cancelled", 1.0, "b", offset=10),
        build_record("admitted", 2.0, "b", offset=10),
        build_record("finished", 3.0, "b", offset=40),
    ]
    assert measure(resumed)["redone_share"] == 0.0
    restarted = [
        build_record("cancelled", 1.0, "b1", offset=10, key="j/1"),
        build_record("finished", 3.0, "b2", offset=40, key="j/1"),
    ]
    assert measure(restarted)["redone_share"] == pytest.approx(10 / 50)


def test_wait_behind_batch_is_counted():
    record = build_record(
        "admitted",
        1.0,
        "o",
        waited_steps=2,
        waited_seconds=0.3,
        running_classes={"batch": 1, "online": 1},
        **{"class": "online"},
    )
    waits = measure([record])["online_waits"]
    assert waits["waited_behind_batch"] == 1
    assert waits["longest_behind_batch"] == 0.3
