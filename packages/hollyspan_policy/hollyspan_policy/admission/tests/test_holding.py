"""Tests of the decision to hold a request at the gateway."""

from hypothesis import given
from hypothesis import strategies

from hollyspan_policy.admission import must_hold
from hollyspan_policy.routing import UpstreamView

SERVICE_TIME_S = 0.7
FIRST_TOKEN_TARGET_S = 0.3
DEADLINE_S = 5.0


def build_view(name="u", **changes):
    values = {"data_centre": "d", "slots": 8, **changes}
    return UpstreamView(name=name, **values)


def decide(
    *views, seconds_to_target=FIRST_TOKEN_TARGET_S, seconds_left=DEADLINE_S
):
    return must_hold(
        list(views),
        service_seconds=SERVICE_TIME_S,
        seconds_to_target=seconds_to_target,
        seconds_left=seconds_left,
    )


def test_request_is_not_held_for_a_short_queue():
    assert not decide(build_view(online=9))


def test_request_is_held_when_the_queue_exceeds_the_target():
    assert decide(build_view(online=12))


def test_one_upstream_with_a_short_queue_suffices():
    assert not decide(build_view(online=12), build_view("v", online=8))


def test_late_request_is_held_until_a_slot_is_free():
    assert decide(build_view(online=8), seconds_to_target=-0.5)
    assert not decide(build_view(online=7), seconds_to_target=-0.5)


def test_slots_of_batch_work_count_as_free():
    assert not decide(build_view(online=7, batch=1), seconds_to_target=-0.5)


def test_hidden_streams_occupy_slots():
    assert decide(build_view(online=7, hidden=1), seconds_to_target=-0.5)


def test_leaving_upstreams_are_ignored():
    leaving = build_view("v", serving=False)
    assert decide(build_view(online=12), leaving)


def test_request_is_sent_shortly_before_its_deadline():
    assert not decide(
        build_view(online=12), seconds_to_target=-3.0, seconds_left=1.9
    )


def test_request_that_cannot_meet_its_deadline_is_not_held():
    assert not decide(build_view(online=100))


def test_request_is_not_held_without_upstreams():
    assert not decide()


@given(
    online=strategies.integers(0, 40),
    batch=strategies.integers(0, 8),
    hidden=strategies.integers(0, 8),
    seconds_to_target=strategies.floats(-5.0, 1.0),
    seconds_left=strategies.floats(0.0, 30.0),
)
def test_no_request_is_held_while_a_slot_is_free(
    online, batch, hidden, seconds_to_target, seconds_left
):
    view = build_view(online=online, batch=batch, hidden=hidden)
    is_held = decide(
        view, seconds_to_target=seconds_to_target, seconds_left=seconds_left
    )
    assert not (is_held and online + hidden < view.slots)
