from hypothesis import given
from hypothesis import strategies as st

from hollyspan_policy.admission import decide_admission
from hollyspan_policy.routing import UpstreamView


def build_view(online, **fields):
    return UpstreamView(
        name=f"u{online}",
        data_centre="kriti-a",
        slots=4,
        online=online,
        **fields,
    )


def decide(views, deadline=1.0):
    return decide_admission(
        views, service_seconds=2.0, deadline_seconds=deadline
    )


def test_accepted_when_any_upstream_makes_it():
    assert decide([build_view(30), build_view(2)]).accepted


def test_refused_with_the_time_the_queue_needs():
    verdict = decide([build_view(20)])
    assert not verdict.accepted
    assert verdict.retry_after >= verdict.expected - 1.0


def test_batch_streams_do_not_count_as_a_queue():
    assert decide([build_view(3, batch=1)], deadline=0.1).accepted


def test_refused_when_no_upstream_serves():
    verdict = decide([build_view(0, serving=False)])
    assert not verdict.accepted
    assert verdict.retry_after > 0


@given(st.lists(st.integers(0, 400), max_size=5), st.floats(0, 60))
def test_a_refusal_always_says_when_to_come_again(loads, deadline):
    verdict = decide([build_view(online) for online in loads], deadline)
    assert verdict.accepted == (verdict.retry_after == 0.0)
    assert verdict.retry_after <= 30.0
