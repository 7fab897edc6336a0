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


def test_accepted_when_any_upstream_meets_the_deadline():
    assert decide([build_view(30), build_view(2)]).admitted


def test_refusal_states_the_time_until_the_queue_has_shrunk():
    verdict = decide([build_view(20)])
    assert not verdict.admitted
    assert verdict.retry_after >= verdict.expected_wait - 1.0


def test_batch_streams_do_not_count_as_queued():
    assert decide([build_view(3, batch=1)], deadline=0.1).admitted


def test_refused_without_a_serving_upstream():
    verdict = decide([build_view(0, serving=False)])
    assert not verdict.admitted
    assert verdict.retry_after > 0


@given(st.lists(st.integers(0, 400), max_size=5), st.floats(0, 60))
def test_every_refusal_has_a_bounded_retry_after(loads, deadline):
    verdict = decide([build_view(online) for online in loads], deadline)
    assert verdict.admitted == (verdict.retry_after == 0.0)
    assert verdict.retry_after <= 30.0
