from hypothesis import given
from hypothesis import strategies as st

from hollyspan_policy.drain import DrainAction
from hollyspan_policy.drain import DrainView
from hollyspan_policy.drain import plan_drain


def plan(**fields):
    view = DrainView(**{"peers_notified": True, **fields})
    return plan_drain(view, notice_seconds=2.0, limit_seconds=60.0)


def test_requests_are_accepted_during_the_notice_time():
    assert DrainAction.ACCEPT in plan(elapsed=1.9)
    assert DrainAction.ACCEPT not in plan(elapsed=2.0, online=1)


def test_batch_stops_before_claims_are_released():
    assert DrainAction.STOP_BATCH in plan(elapsed=0.1, batch=2, claims=1)
    assert DrainAction.RELEASE_CLAIMS in plan(elapsed=0.2, claims=1)


def test_exits_without_work_or_at_the_limit():
    assert plan(elapsed=2.0) == [DrainAction.EXIT]
    assert plan(elapsed=60.0, online=3) == [DrainAction.EXIT]


counts = st.integers(0, 3)


@given(st.floats(0, 59.9), st.booleans(), counts, counts, counts, counts)
def test_no_exit_with_work_left(
    elapsed, are_peers_notified, idle, online, batch, claims
):
    actions = plan(
        elapsed=elapsed,
        peers_notified=are_peers_notified,
        idle_connections=idle,
        online=online,
        batch=batch,
        claims=claims,
    )
    work_left = not are_peers_notified or idle or online or batch or claims
    assert actions
    assert (DrainAction.EXIT in actions) == (elapsed >= 2.0 and not work_left)
