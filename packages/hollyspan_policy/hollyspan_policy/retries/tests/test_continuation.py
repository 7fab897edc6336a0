"""Tests of the decisions on requests that may have run."""

import pytest

from hollyspan_policy.retries import may_break_off
from hollyspan_policy.retries import must_continue

OPEN = {
    "sends": 1,
    "max_attempts": 2,
    "is_repeatable": True,
    "is_owed": True,
    "seconds_left": 1.0,
    "pause_seconds": 0.1,
}


def test_an_attempt_that_another_can_follow_may_be_broken_off():
    assert may_break_off(sends=1, max_attempts=2, is_repeatable=True)


@pytest.mark.parametrize(
    ("sends", "is_repeatable"), [(1, False), (2, True), (3, True)]
)
def test_a_last_attempt_is_not_broken_off(sends, is_repeatable):
    assert not may_break_off(
        sends=sends, max_attempts=2, is_repeatable=is_repeatable
    )


def test_an_owed_request_is_tried_again_while_there_is_time():
    assert must_continue(**OPEN)


@pytest.mark.parametrize(
    "change",
    [
        {"sends": 2},
        {"is_repeatable": False},
        {"is_owed": False},
        {"seconds_left": 0.1},
    ],
)
def test_others_are_not_tried_again(change):
    assert not must_continue(**{**OPEN, **change})
