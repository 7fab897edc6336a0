"""Tests of figures computed from gateways' logs."""

import json

import pytest

from benchmarks.beliefs import compare_load_estimates
from benchmarks.wave import count_by_second
from benchmarks.wave import plot_waves
from hollyspan_operator.tracing import parse_line


def build_line(kind, time, **fields):
    values = {"message_type": kind, "timestamp": time, **fields}
    return parse_line(json.dumps(values))


def build_answer(time, *, online, reported, age=0.01, first_event=0.02):
    return build_line(
        "request:answered",
        time,
        online=online,
        batch=1,
        hidden=0,
        reported=reported,
        report_age=age,
        first_event=first_event,
    )


def test_estimates_are_compared_with_reports():
    lines = [
        # Three requests estimated; three reported besides the request itself.
        build_answer(1.0, online=2, reported=[4, 0, 8]),
        # Six requests estimated, eight reported besides the request itself,
        # one of them waiting: a busy upstream.
        build_answer(1.1, online=5, reported=[8, 1, 8], age=0.5),
        build_answer(1.2, online=0, reported=[2, 0, 8], age=None),
        build_line("item:stored", 1.3),
    ]
    figures = compare_load_estimates(lines)
    assert figures["all"]["answers"] == 3
    assert figures["all"]["error_p99"] == 2
    assert figures["all"]["without_report"] == 1
    assert figures["all"]["age_p99"] == pytest.approx(0.5)
    assert figures["busy"]["answers"] == 1
    assert figures["busy"]["error_mean"] == -2
    assert compare_load_estimates([]) == {"all": {}, "busy": {}}


def test_counts_by_second(tmp_path):
    lines = [
        build_answer(10.0, online=0, reported=[1, 0, 8], first_event=0.02),
        build_answer(10.5, online=0, reported=[1, 0, 8], first_event=0.4),
        build_line("item:preempted", 10.6),
        build_line("item:stored", 12.1),
    ]
    seconds = count_by_second(lines)
    assert [row["answers"] for row in seconds] == [2, 0, 0]
    assert seconds[0]["p99"] == pytest.approx(0.4)
    assert seconds[1]["p50"] is None
    assert seconds[0]["preempted"] == seconds[2]["done"] == 1
    plot_waves(seconds, tmp_path / "wave.png")
    assert (tmp_path / "wave.png").stat().st_size > 1000
    assert count_by_second([]) == []
