"""Tests of the start of items that another gateway owns."""

import pytest

from hollyspan_policy.batch import may_succeed

FINISH_S = 18.0
RUN_S = 5.0


def decide(idle, **changes):
    values = {
        "rank": 0,
        "idle_seconds": idle,
        "free_seconds": 60.0,
        "is_owner_heard": True,
        "is_claimed": False,
        **changes,
    }
    return may_succeed(**values)


def find_wait(**changes):
    """Return the tenths of seconds after which an item may be started."""
    return next(
        (tenth for tenth in range(400) if decide(tenth / 10, **changes)), None
    )


@pytest.mark.parametrize("is_owner_heard", [True, False])
@pytest.mark.parametrize("is_claimed", [True, False])
def test_gateways_follow_one_another(is_owner_heard, is_claimed):
    waits = [
        find_wait(
            rank=rank, is_owner_heard=is_owner_heard, is_claimed=is_claimed
        )
        for rank in range(4)
    ]
    assert waits == sorted(waits)
    assert all(b - a >= 20 for a, b in zip(waits, waits[1:]))
    # One run of the second gateway behind the owner ends in time.
    assert waits[1] / 10 + RUN_S <= FINISH_S


def test_nobody_starts_an_item_while_it_has_no_place():
    assert not decide(60.0, free_seconds=0.0)
    assert not decide(60.0, free_seconds=3.9)


# Failure: items left alone waited as long as later ones took all places.
def test_an_item_without_a_place_is_started_when_later_ones_are():
    waits = [
        find_wait(rank=rank, free_seconds=0.0, is_overtaken=True)
        for rank in range(4)
    ]
    assert waits == sorted(waits)
    assert all(b - a >= 20 for a, b in zip(waits, waits[1:]))
    assert waits[0] > find_wait()
    assert find_wait(is_overtaken=True) == find_wait()


def test_an_item_in_work_is_left_alone_for_longer():
    assert find_wait(is_claimed=True) > find_wait() > 30


def test_an_owner_that_is_not_heard_is_given_more_time():
    assert find_wait(is_owner_heard=False) > find_wait()


def test_few_gateways_come_into_question():
    assert find_wait(rank=4) is None


def test_the_owner_waits_for_another_gateway_within_a_bound():
    assert find_wait(rank=-1, is_claimed=True, free_seconds=0.0) == 80
