"""Tests of what tells lost links from upstreams that stand still."""

from hollyspan_policy.reach import is_only_silent_here


def test_an_answer_on_its_way_when_a_silence_began_is_no_evidence():
    assert not is_only_silent_here(quiet_since=2.0, answered_elsewhere_at=2.05)


def test_an_upstream_that_nobody_hears_stands_still():
    assert not is_only_silent_here(quiet_since=2.0, answered_elsewhere_at=1.0)


def test_an_upstream_that_others_hear_is_behind_a_lost_link():
    assert is_only_silent_here(quiet_since=2.0, answered_elsewhere_at=2.3)
