"""Tests of the division of rate limits among daemons."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from hollyspan_policy.rates import divide_rate_limits
from hollyspan_policy.rates import LimitedUpstream
from hollyspan_policy.rates import must_hold_for_rate
from hollyspan_policy.rates import RateBucket
from hollyspan_policy.rates import RateSharer

WINDOW_S = 4.0
TOLERANCE = 1.5
SURPLUS = 5


def build_sharers(online, batch=0, *, regions=1):
    return [
        RateSharer(
            identifier=f"{'w' if number < batch else 'f'}{number}",
            region=number % regions,
            runs_batch=number < batch,
        )
        for number in range(online + batch)
    ]


def build_upstreams(*limits, region=0):
    return [
        LimitedUpstream(name=f"u{number}", region=region, per_second=limit)
        for number, limit in enumerate(limits)
    ]


@given(
    st.lists(st.floats(0, 50), min_size=1, max_size=20),
    st.integers(0, 40),
    st.integers(0, 10),
    st.integers(1, 7),
    st.booleans(),
)
def test_the_shares_of_a_limit_make_it_up(
    limits, online, batch, regions, is_batch_included
):
    shares = divide_rate_limits(
        build_upstreams(*limits),
        sharers=build_sharers(online, batch, regions=regions),
        is_batch_included=is_batch_included,
    )
    for number, limit in enumerate(limits):
        found = shares[f"u{number}"]
        expected = limit if online + batch else 0.0
        assert sum(found.values()) == pytest.approx(expected)
        # What all of them may send in a window, with their first requests
        # and their debts, stays within what is tolerated.
        bursts = sum(
            RateBucket(rate=rate, now=0.0).capacity for rate in found.values()
        )
        most = WINDOW_S * limit + bursts + len(found)
        assert most <= TOLERANCE * WINDOW_S * limit + SURPLUS


def test_batch_work_has_one_place_of_each_limit():
    sharers = build_sharers(3, 2)
    (found,) = divide_rate_limits(
        build_upstreams(9.0), sharers=sharers
    ).values()
    assert sorted(found) == ["f2", "f3", "f4"]
    (found,) = divide_rate_limits(
        build_upstreams(9.0), sharers=sharers, is_batch_included=True
    ).values()
    assert sum(name.startswith("w") for name in found) == 1


def test_batch_work_has_each_fourth_limit_below_one_a_second():
    shares = divide_rate_limits(
        build_upstreams(*[0.5] * 8),
        sharers=build_sharers(3, 2),
        is_batch_included=True,
    )
    holders = [name for found in shares.values() for name in found]
    assert sum(name.startswith("w") for name in holders) == 2
    assert len(holders) == 8
    # A single limit goes to online requests.
    (found,) = divide_rate_limits(
        build_upstreams(0.5),
        sharers=build_sharers(3, 2),
        is_batch_included=True,
    ).values()
    assert not any(name.startswith("w") for name in found)


def test_the_places_are_spread_evenly():
    shares = divide_rate_limits(
        build_upstreams(*[2.5] * 14), sharers=build_sharers(7)
    )
    counts = [
        sum(f"f{number}" in found for found in shares.values())
        for number in range(7)
    ]
    assert counts == [6] * 7


def test_daemons_of_the_region_come_first():
    sharers = build_sharers(30, regions=3)
    regions = {each.identifier: each.region for each in sharers}
    (found,) = divide_rate_limits(
        build_upstreams(3.0, region=2), sharers=sharers
    ).values()
    assert {regions[name] for name in found} == {2}


def test_the_order_of_the_daemons_does_not_matter():
    sharers = build_sharers(9, 3)
    upstreams = build_upstreams(1.0, 2.0, 3.0)
    assert divide_rate_limits(
        upstreams, sharers=sharers
    ) == divide_rate_limits(upstreams[::-1], sharers=sharers[::-1])


def count_sends(bucket, seconds):
    sent = 0
    for step in range(round(seconds * 100)):
        if bucket.may_send(now=step / 100):
            bucket.spend(now=step / 100)
            sent += 1
    return sent


def test_a_bucket_keeps_its_rate_and_saves_two_seconds():
    assert count_sends(RateBucket(rate=2.0, now=0.0), 10.0) in (19, 20)
    bucket = RateBucket(rate=2.0, now=-100.0)
    # Two seconds' worth after the pause, and those of the second itself.
    assert count_sends(bucket, 1.0) in (5, 6)


def test_a_bucket_without_a_share_sends_nothing():
    bucket = RateBucket(rate=0.0, now=0.0)
    assert not bucket.may_send(now=100.0)
    assert not bucket.may_send(now=100.0, is_continued=True)


def test_answers_that_have_begun_go_on_one_ahead():
    bucket = RateBucket(rate=1.0, now=0.0)
    assert not bucket.may_send(now=0.0)
    assert bucket.may_send(now=0.0, is_continued=True)
    bucket.spend(now=0.0)
    assert not bucket.may_send(now=0.5, is_continued=True)
    assert bucket.measure_wait(now=0.5) == pytest.approx(1.5)


def test_a_request_that_the_limits_let_through_too_late_is_not_held():
    def hold(ahead, *, rate=2.0):
        return must_hold_for_rate(
            first_wait=0.5, rate=rate, ahead=ahead, seconds_left=5.0
        )

    assert hold(0) and hold(6)
    assert not hold(7)
    assert not hold(0, rate=0.0)
