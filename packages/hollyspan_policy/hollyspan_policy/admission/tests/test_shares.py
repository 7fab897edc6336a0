from hypothesis import given
from hypothesis import strategies as st

from hollyspan_policy.admission import WorkspaceShares


def test_single_workspace_gets_the_whole_capacity():
    shares = WorkspaceShares(capacity=10)
    assert sum(shares.admit("dev") for _ in range(50)) == 10


def test_new_workspace_gets_its_share_immediately():
    shares = WorkspaceShares(capacity=10)
    for _ in range(50):
        shares.admit("dev")
    assert sum(shares.admit("trust") for _ in range(50)) == 5


def test_shares_are_proportional_to_weights():
    shares = WorkspaceShares(capacity=9)
    shares.set_weight("trust", 2.0)
    for _ in range(50):
        shares.admit("dev")
    assert sum(shares.admit("trust") for _ in range(50)) == 6


def test_ended_requests_free_capacity():
    shares = WorkspaceShares(capacity=2)
    assert shares.admit("dev") and shares.admit("dev")
    assert not shares.admit("dev")
    shares.release("dev")
    assert shares.admit("dev")


@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans())))
def test_requests_in_flight_stay_bounded(steps):
    shares = WorkspaceShares(capacity=6)
    in_flight = {"a": 0, "b": 0, "c": 0}
    for workspace, is_arrival in steps:
        if is_arrival:
            in_flight[workspace] += shares.admit(workspace)
        elif in_flight[workspace]:
            shares.release(workspace)
            in_flight[workspace] -= 1
    assert shares.total == sum(in_flight.values())
    # A workspace that arrives late may exceed the capacity up to its share.
    assert shares.total <= 6 + 3 + 2
    assert {k: v for k, v in in_flight.items() if v} == dict(shares.in_flight)
