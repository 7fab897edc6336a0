"""Tests of rendezvous hashing."""

from hypothesis import given
from hypothesis import strategies

from hollyspan_policy.ownership import choose_owner
from hollyspan_policy.ownership import rank_owners

NAMES = strategies.sets(strategies.text(min_size=1), min_size=1, max_size=9)


@given(strategies.text(), NAMES)
def test_first_ranked_instance_is_the_owner(duty, instances):
    ranked = rank_owners(duty, instances)
    assert choose_owner(duty, instances) == ranked[0]
    assert set(ranked) == instances
    assert rank_owners(duty, sorted(instances)) == ranked


@given(strategies.text(), NAMES, strategies.data())
def test_failed_instance_moves_only_its_own_duties(duty, instances, data):
    lost = data.draw(strategies.sampled_from(sorted(instances)))
    ranked = rank_owners(duty, instances)
    ranked.remove(lost)
    assert rank_owners(duty, instances - {lost}) == ranked


def test_duty_has_no_owner_without_instances():
    assert choose_owner("engine-1", []) is None
