"""Tests of the comparison of measured and modelled engines."""

from types import SimpleNamespace

from benchmarks.engines import compare_engines
from benchmarks.engines import group_answers
from benchmarks.engines import group_requests


def build_line(**fields):
    values = {
        "reported": [8, 1, 8],
        "first_event": 0.1,
        "seconds": 0.8,
        "sends": 1,
        **fields,
    }
    return SimpleNamespace(kind="request:answered", fields=values)


def test_only_answers_sent_once_are_grouped():
    lines = [
        build_line(),
        build_line(sends=2),
        build_line(first_event=None),
        build_line(reported=None),
        SimpleNamespace(kind="request:failed", fields={}),
    ]
    ((load, ((first, rest),)),) = group_answers(lines).items()
    assert load == (8, 1)
    assert (first, round(rest, 6)) == (0.1, 0.7)


def test_model_requests_are_timed_from_sending():
    request = SimpleNamespace(
        end_reason="answered",
        sends=1,
        reported_load=(8, 1),
        sent_at=2.0,
        first_event_at=2.1,
        last_event_at=2.9,
    )
    moved = SimpleNamespace(end_reason="answered", sends=2)
    ((load, ((first, rest),)),) = group_requests([request, moved]).items()
    assert load == (8, 1)
    assert (round(first, 6), round(rest, 6)) == (0.1, 0.8)


def test_loads_with_few_answers_are_omitted():
    many, few = [(0.1, 0.7)] * 10, [(0.1, 0.7)] * 9
    table = compare_engines(
        {(1, 0): many, (2, 0): many, (3, 0): many},
        {(1, 0): many, (2, 0): few},
    )
    assert [(row["running"], row["waiting"]) for row in table] == [(1, 0)]
    assert table[0]["model"]["answers"] == 10
