"""Tests of the choice of the daemon that runs a request."""

import collections

from hypothesis import given
from hypothesis import strategies

from hollyspan_policy.reach import choose_forwarder
from hollyspan_policy.reach import Forwarder
from hollyspan_policy.reach import has_lost_links


def build_fleet(*, near, far, lost_share=0.0):
    return [
        Forwarder(
            identifier=f"g{number}",
            is_near=number < near,
            in_flight=0,
            lost_share=lost_share,
        )
        for number in range(near + far)
    ]


def spread(fleet, count):
    """Choose for requests that all stay in flight; return the counts."""
    for number in range(count):
        chosen = choose_forwarder(fleet, key=f"q{number}")
        chosen.in_flight += 1
    return collections.Counter(
        {each.identifier: each.in_flight for each in fleet}
    )


def test_near_daemons_come_first():
    chosen = spread(build_fleet(near=36, far=330), 72)
    assert sum(chosen[f"g{number}"] for number in range(36)) == 72


def test_load_is_even_among_hundreds_of_near_daemons():
    chosen = spread(build_fleet(near=100, far=0), 400)
    assert max(chosen.values()) <= 8


def test_a_single_near_daemon_does_not_take_all():
    chosen = spread(build_fleet(near=1, far=20), 40)
    assert chosen["g0"] <= 8


def test_daemons_that_reach_all_upstreams_come_before_others():
    impaired = build_fleet(near=5, far=0, lost_share=0.2)
    whole = Forwarder(
        identifier="w", is_near=False, in_flight=50, lost_share=0.0
    )
    assert choose_forwarder([*impaired, whole], key="q") is whole


def test_no_daemon_without_links_is_chosen():
    assert (
        choose_forwarder(build_fleet(near=3, far=3, lost_share=1.0), key="q")
        is None
    )


@given(strategies.integers(0, 5), strategies.floats(0.0, 10.0))
def test_more_failures_never_speak_for_the_links(failed, quiet_seconds):
    if has_lost_links(failed=failed, quiet_seconds=quiet_seconds):
        assert has_lost_links(failed=failed + 1, quiet_seconds=quiet_seconds)
    else:
        assert failed < 2
