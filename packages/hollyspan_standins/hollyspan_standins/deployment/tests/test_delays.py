"""Tests of run delays that are computed from samples."""

import pytest

from hollyspan_standins.deployment import RunDelays


@pytest.fixture
def delays():
    delays = RunDelays()
    delays.add(1.0, {"a": 0.0, "b": 0.5})
    delays.add(2.0, {"a": 0.25, "b": 0.5})
    delays.add(3.0, {"a": 0.5, "b": 1.5})
    return delays


@pytest.mark.parametrize(
    ("names", "since", "until", "expected"),
    [
        (["a"], 1.0, 2.0, 0.25),
        (["a", "b"], 1.0, 3.0, 1.5),
        (["b"], 1.5, 1.6, 0.0),
        (["b"], 2.5, 2.6, 1.0),
        (["unknown"], 1.0, 3.0, 0.0),
        # The interval extends beyond the first and the last sample.
        (["a"], 0.0, 9.0, 0.5),
    ],
)
def test_interval_is_measured_between_enclosing_samples(
    delays, names, since, until, expected
):
    assert delays.measure(names, since, until) == expected


def test_no_samples_give_zero_delay():
    assert RunDelays().measure(["a"], 0.0, 1.0) == 0.0
