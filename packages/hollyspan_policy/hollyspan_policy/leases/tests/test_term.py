from hypothesis import given
from hypothesis import strategies as st

from hollyspan_policy.leases import compute_takeover_wait
from hollyspan_policy.leases import LeaseTerm


def build_term():
    return LeaseTerm(ttl=10.0, margin=2.0, sent_at=100.0, wall_time=5000.0)


def test_term_counts_from_the_send_time_of_the_last_answered_renewal():
    term = build_term()
    assert term.count_seconds_left(now=103.0) == 5.0
    term.renew(sent_at=104.0, wall_time=5004.0)
    term.renew(sent_at=101.0, wall_time=5001.0)
    assert term.count_seconds_left(now=104.0) == 8.0


def test_lease_ends_while_the_machine_is_suspended():
    term = build_term()
    assert term.count_seconds_left(now=101.0, wall_time=5030.0) < 0


def test_clock_set_back_does_not_extend_the_lease():
    term = build_term()
    assert term.count_seconds_left(now=107.0, wall_time=4000.0) == 1.0


def test_call_must_time_out_within_the_lease():
    term = build_term()
    assert term.outlasts(2.0, now=105.0, wall_time=5005.0)
    assert not term.outlasts(2.0, now=106.5, wall_time=5006.5)


def test_new_holder_waits_only_without_fencing():
    times = {"ttl": 10.0, "order_timeout": 2.0}
    assert compute_takeover_wait(checks_fencing=True, **times) == 0
    assert compute_takeover_wait(checks_fencing=False, **times) == 12.0


@given(st.lists(st.floats(0, 1000)), st.floats(0, 1000), st.floats(0, 9000))
def test_lease_is_never_trusted_beyond_ttl_minus_margin(
    sent_at, now, wall_time
):
    term = LeaseTerm(ttl=10.0, margin=2.0, sent_at=0.0, wall_time=0.0)
    for moment in sent_at:
        term.renew(sent_at=moment, wall_time=moment)
    last = max([0.0, *sent_at])
    left = term.count_seconds_left(now=now, wall_time=wall_time)
    assert left <= 8.0 - (now - last) + 1e-9
    assert left <= 8.0 - (wall_time - last) + 1e-9
