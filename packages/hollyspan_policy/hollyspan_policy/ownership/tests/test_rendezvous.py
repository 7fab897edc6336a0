from hypothesis import given
from hypothesis import strategies as st

from hollyspan_policy.ownership import choose_owner
from hollyspan_policy.ownership import rank_owners

names = st.sets(st.text(min_size=1, max_size=6), min_size=1, max_size=8)


@given(st.text(max_size=10), names)
def test_owner_does_not_depend_on_the_order(duty, instances):
    ranked = rank_owners(duty, sorted(instances))
    assert ranked == rank_owners(duty, sorted(instances, reverse=True))
    assert ranked[0] == choose_owner(duty, instances)


@given(st.text(max_size=10), names)
def test_only_the_duties_of_a_lost_instance_move(duty, instances):
    ranked = rank_owners(duty, instances)
    rest = instances - {ranked[-1]}
    assert choose_owner(duty, rest) in (ranked[0], None)


def test_no_owner_without_instances():
    assert choose_owner("engine-1", []) is None
