"""Tests of the decisions on runs whose upstream is silent."""

import pytest

from hollyspan_policy.retries import MAX_STILL_S
from hollyspan_policy.retries import must_leave_silence
from hollyspan_policy.retries import pays_to_move
from hollyspan_policy.retries import speaks_against_text

STILL = {
    "quiet_seconds": 1.8,
    "is_silent_link": False,
    "has_follower": True,
    "is_ended": False,
}
MOVE = {
    "quiet_seconds": 0.5,
    "is_upstream_heard": False,
    "move_seconds": 0.8,
    "slack_seconds": 9.0,
}


@pytest.mark.parametrize(
    ("change", "must_leave"),
    [
        ({}, False),
        ({"quiet_seconds": MAX_STILL_S}, True),
        ({"is_silent_link": True}, True),
        ({"is_silent_link": True, "has_follower": False}, False),
        ({"is_ended": True, "quiet_seconds": 0.3}, True),
    ],
)
def test_a_run_is_kept_while_its_upstream_may_stand_still(change, must_leave):
    assert must_leave_silence(**{**STILL, **change}) is must_leave


@pytest.mark.parametrize(
    ("change", "pays"),
    [
        ({}, False),
        ({"quiet_seconds": 0.8}, True),
        # It may be late after the rest, is late in any case, or in neither.
        ({"slack_seconds": 1.9}, True),
        ({"slack_seconds": 0.7}, False),
        ({"slack_seconds": 2.1}, False),
        ({"is_upstream_heard": True, "quiet_seconds": 0.9}, False),
        ({"is_upstream_heard": True, "quiet_seconds": 1.0}, True),
    ],
)
def test_a_run_moves_when_the_rest_of_the_silence_may_cost_more(change, pays):
    assert pays_to_move(**{**MOVE, **change}) is pays


@pytest.mark.parametrize(
    ("change", "speaks"),
    [
        ({}, False),
        ({"is_upstream_heard": True}, True),
        ({"is_first_there": True}, True),
        ({"has_other": False}, True),
    ],
)
def test_a_silence_counts_once_for_a_text_that_others_can_go_on_with(
    change, speaks
):
    again = {
        "is_upstream_heard": False,
        "is_first_there": False,
        "has_other": True,
    }
    assert speaks_against_text(**{**again, **change}) is speaks
