from hypothesis import given
from hypothesis import strategies as st

from hollyspan_policy.admission import WorkspaceShares


def test_one_workspace_alone_gets_the_whole_capacity():
    shares = WorkspaceShares(capacity=10)
    assert sum(shares.enter("dev") for _ in range(50)) == 10


def test_latecomer_gets_its_share_at_once():
    shares = WorkspaceShares(capacity=10)
    for _ in range(50):
        shares.enter("dev")
    assert sum(shares.enter("trust") for _ in range(50)) == 5


def test_weights_set_the_shares():
    shares = WorkspaceShares(capacity=9)
    shares.set_weight("trust", 2.0)
    for _ in range(50):
        shares.enter("dev")
    assert sum(shares.enter("trust") for _ in range(50)) == 6


def test_ended_requests_make_room():
    shares = WorkspaceShares(capacity=2)
    assert shares.enter("dev") and shares.enter("dev")
    assert not shares.enter("dev")
    shares.leave("dev")
    assert shares.enter("dev")


@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans())))
def test_counts_stay_in_bounds(steps):
    shares = WorkspaceShares(capacity=6)
    held = {"a": 0, "b": 0, "c": 0}
    for workspace, enters in steps:
        if enters:
            held[workspace] += shares.enter(workspace)
        elif held[workspace]:
            shares.leave(workspace)
            held[workspace] -= 1
    assert shares.total == sum(held.values())
    # Each late workspace may enter up to its share beyond the capacity.
    assert shares.total <= 6 + 3 + 2
    assert {k: v for k, v in held.items() if v} == dict(shares.running)
