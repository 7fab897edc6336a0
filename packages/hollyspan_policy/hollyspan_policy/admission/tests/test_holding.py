"""Tests of the decision where a request waits."""

from hypothesis import given
from hypothesis import strategies

from hollyspan_policy.admission import must_hold
from hollyspan_policy.routing import UpstreamView

SERVICE_S = 0.7
AIM_S = 0.3
TIME_S = 5.0


def build_view(name="u", **changes):
    values = {"data_centre": "d", "slots": 8, **changes}
    return UpstreamView(name=name, **values)


def decide(*views, seconds_to_aim=AIM_S, seconds_left=TIME_S):
    return must_hold(
        list(views),
        service_seconds=SERVICE_S,
        seconds_to_aim=seconds_to_aim,
        seconds_left=seconds_left,
    )


def test_a_short_queue_is_no_reason_to_wait():
    assert not decide(build_view(online=9))


def test_a_queue_longer_than_the_aim_is_one():
    assert decide(build_view(online=12))


def test_one_upstream_with_a_short_queue_is_enough():
    assert not decide(build_view(online=12), build_view("v", online=8))


def test_a_late_request_waits_for_a_free_slot_only():
    assert decide(build_view(online=8), seconds_to_aim=-0.5)
    assert not decide(build_view(online=7), seconds_to_aim=-0.5)


def test_batch_work_gives_its_slots():
    assert not decide(build_view(online=7, batch=1), seconds_to_aim=-0.5)


def test_streams_that_nobody_tells_of_take_slots():
    assert decide(build_view(online=7, hidden=1), seconds_to_aim=-0.5)


def test_upstreams_that_leave_do_not_count():
    leaving = build_view("v", serving=False)
    assert decide(build_view(online=12), leaving)


def test_near_the_end_of_its_time_it_is_sent():
    assert not decide(
        build_view(online=12), seconds_to_aim=-3.0, seconds_left=1.9
    )


def test_what_cannot_begin_in_its_time_is_left_to_admission():
    assert not decide(build_view(online=100))


def test_without_upstreams_nothing_is_held():
    assert not decide()


@given(
    online=strategies.integers(0, 40),
    batch=strategies.integers(0, 8),
    hidden=strategies.integers(0, 8),
    seconds_to_aim=strategies.floats(-5.0, 1.0),
    seconds_left=strategies.floats(0.0, 30.0),
)
def test_nothing_waits_while_a_slot_is_free(
    online, batch, hidden, seconds_to_aim, seconds_left
):
    view = build_view(online=online, batch=batch, hidden=hidden)
    is_held = decide(
        view, seconds_to_aim=seconds_to_aim, seconds_left=seconds_left
    )
    assert not (is_held and online + hidden < view.slots)
