from hypothesis import given
from hypothesis import strategies as st

from hollyspan_policy.batch import BatchGate
from hollyspan_policy.batch import split_reserve

weights = st.floats(0.0, 1.0)


def build_gate(harm_weight=0.5, reserve=1):
    return BatchGate(slots=8, reserve=reserve, harm_weight=harm_weight)


def settle_start_limit(gate, *, until):
    """Query the gate until its growth limit no longer applies."""
    steps = int(until * 20)
    for step in range(steps):
        gate.count_allowed(now=step / 20)
    return gate.count_allowed(now=until)


def test_reserve_stays_free_when_nothing_arrives():
    gate = build_gate()
    gate.observe_online(0, now=0.0)
    assert settle_start_limit(gate, until=5.0) == 7


def test_harm_weight_of_zero_uses_every_free_slot():
    gate = build_gate(harm_weight=0.0)
    gate.observe_online(0, now=0.0)
    assert settle_start_limit(gate, until=5.0) == 8


def test_reserve_is_split_over_the_upstreams():
    counts = []
    for rank in range(3):
        gate = build_gate()
        gate.observe_online(0, now=0.0)
        gate.observe_upstreams(3, rank=rank, now=0.0)
        counts.append(settle_start_limit(gate, until=5.0))
    assert counts == [7, 8, 8]


@given(st.integers(0, 4), st.integers(1, 6), weights, weights)
def test_reserve_rises_with_the_weight(reserve, upstreams, one, other):
    low, high = sorted((one, other))
    totals = [
        sum(
            split_reserve(
                reserve, harm_weight=weight, upstreams=upstreams, rank=rank
            )
            for rank in range(upstreams)
        )
        for weight in (low, high)
    ]
    assert totals == sorted(totals)
    assert totals[-1] <= reserve * upstreams


def test_allowed_count_falls_immediately():
    gate = build_gate()
    gate.observe_online(0, now=0.0)
    settle_start_limit(gate, until=5.0)
    gate.observe_online(6, now=5.001)
    assert gate.count_allowed(now=5.001, running=7) <= 2


def test_running_streams_may_use_part_of_the_headroom():
    gate = build_gate()
    gate.observe_online(0, now=0.0)
    assert settle_start_limit(gate, until=5.0) == 7
    gate.observe_online(1, now=5.1)
    assert gate.count_allowed(now=5.1, running=7) == 7
    assert gate.count_allowed(now=5.1, running=0) < 7


def test_slot_must_stay_free_before_batch_starts_in_it():
    gate = build_gate()
    gate.observe_online(4, now=0.0)
    settle_start_limit(gate, until=20.0)
    before = gate.count_allowed(now=20.0)
    gate.observe_online(3, now=20.0)
    assert gate.count_allowed(now=20.05) == before
    assert gate.count_allowed(now=20.5) == before + 1


def test_allowed_count_grows_slot_by_slot_after_a_burst():
    gate = build_gate(harm_weight=0.0)
    gate.observe_online(8, now=0.0)
    gate.count_allowed(now=0.0)
    gate.observe_online(0, now=10.0)
    counts = [gate.count_allowed(now=10 + step * 0.025) for step in range(3)]
    assert counts[-1] < 8
    assert gate.count_allowed(now=11.0) == 8


def test_headroom_grows_at_the_start_of_a_burst():
    gate = build_gate(reserve=0)
    gate.observe_online(0, now=0.0)
    quiet = gate.estimate_headroom(now=30.0)
    for step in range(8):
        gate.observe_online(step % 4 + 1, now=30 + step * 0.05)
    assert gate.estimate_headroom(now=30.4) > quiet


def test_reported_streams_count_when_peers_are_silent():
    gate = build_gate()
    gate.observe_online(1, now=0.0)
    gate.observe_peers(False, now=0.0)
    gate.observe_report(running=6, waiting=1, batch=2, now=0.1)
    assert gate.count_allowed(now=0.1, running=2) <= 3


def test_streams_of_a_failed_owner_occupy_slots():
    gate = build_gate()
    gate.observe_online(0, now=0.0)
    for step in range(3):
        gate.observe_report(running=6, waiting=0, batch=0, now=step * 0.5)
    assert gate.count_allowed(now=1.0, running=0) <= 2


def test_allowed_count_grows_slowly_when_peers_are_silent():
    gate = build_gate()
    gate.observe_online(0, now=0.0)
    gate.observe_peers(False, now=0.0)
    gate.observe_report(running=8, waiting=0, batch=0, now=0.0)
    gate.count_allowed(now=0.0, running=0)
    for step in range(1, 6):
        gate.observe_report(running=0, waiting=0, batch=0, now=step * 0.5)
        allowed = gate.count_allowed(now=step * 0.5, running=0)
    assert allowed == 1


def test_batch_gets_a_small_share_when_peers_are_silent():
    gate = build_gate()
    gate.observe_online(0, now=0.0)
    gate.observe_peers(False, now=0.0)
    for step in range(100):
        gate.observe_report(running=0, waiting=0, batch=0, now=step * 0.5)
        allowed = gate.count_allowed(now=step * 0.5, running=8)
    assert allowed == 2


def test_no_stream_starts_with_silent_peers_and_a_stale_report():
    gate = build_gate()
    gate.observe_online(0, now=0.0)
    gate.observe_report(running=0, waiting=0, batch=0, now=0.0)
    gate.observe_peers(False, now=0.0)
    assert gate.load.is_unknown(now=60.0)
    assert gate.count_allowed(now=60.0) == 0
    assert gate.count_allowed(now=60.0, running=6) == 4


def test_slots_are_used_again_once_peers_are_live():
    gate = build_gate()
    gate.observe_online(0, now=0.0)
    gate.observe_peers(False, now=0.0)
    gate.count_allowed(now=10.0)
    gate.observe_peers(True, now=11.0)
    gate.count_allowed(now=11.0)
    assert gate.count_allowed(now=13.0) == 7


observations = st.lists(
    st.tuples(st.integers(0, 12), st.floats(0.001, 5.0)), max_size=40
)


@given(observations, weights, st.integers(0, 8))
def test_batch_never_gets_slots_of_online_requests(
    steps, harm_weight, running
):
    gate = build_gate(harm_weight=harm_weight)
    now = 0.0
    for online, pause in steps:
        gate.observe_online(online, now=now)
        allowed = gate.count_allowed(now=now, running=running)
        assert 0 <= allowed <= max(0, 8 - online)
        now += pause


@given(observations)
def test_higher_harm_weight_never_allows_more_streams(steps):
    gates = [build_gate(harm_weight=weight) for weight in (0.0, 0.5, 1.0)]
    now = 0.0
    for online, pause in steps:
        counts = []
        for gate in gates:
            gate.observe_online(online, now=now)
            counts.append(gate.count_allowed(now=now))
        assert counts == sorted(counts, reverse=True)
        now += pause
