"""Choice of the upstream for one attempt."""

import time
from types import SimpleNamespace

import pytest

from hollyspan_entry.online.choice import build_refusal
from hollyspan_entry.online.choice import choose
from hollyspan_entry.online.choice import choose_or_try
from hollyspan_entry.upstreams import Upstream
from hollyspan_entry.upstreams import Upstreams
from hollyspan_policy.routing import AffinityTable


@pytest.fixture
def state():
    """Two engines of one service in the daemon's data centre."""
    upstreams = Upstreams()
    for number in (1, 2):
        upstreams.add(
            Upstream(
                name=f"engine-{number}",
                kind="engine",
                service="pips-lm",
                data_centre="attiki-a",
                address="127.0.0.1",
                port=number,
                slots=8,
            )
        )
    runtime = SimpleNamespace(
        settings=SimpleNamespace(instance="d", data_centre="attiki-a"),
        upstreams=upstreams,
        owners=SimpleNamespace(find=lambda upstream: None),
        configurations=SimpleNamespace(
            current=SimpleNamespace(get=lambda *args, **kwargs: "affinity")
        ),
        affinity=AffinityTable(),
    )
    return SimpleNamespace(
        runtime=runtime, get_service_seconds=lambda service: 0.1
    )


@pytest.fixture
def request_now():
    return SimpleNamespace(
        service="pips-lm",
        deadline=time.monotonic() + 5.0,
        blocks=[],
        identifier="r",
    )


def fail_checks(state, *names):
    for name in names:
        state.runtime.upstreams.by_name[name].reachable = False


def test_an_upstream_that_missed_a_check_is_passed_over(state, request_now):
    fail_checks(state, "engine-1")
    upstream, _ = choose_or_try(state, request_now, tried=set())
    assert upstream.name == "engine-2"


def test_when_all_have_missed_one_they_are_tried(state, request_now):
    fail_checks(state, "engine-1", "engine-2")
    first, _ = choose_or_try(state, request_now, tried=set())
    second, _ = choose_or_try(state, request_now, tried={first.name})
    assert {first.name, second.name} == {"engine-1", "engine-2"}
    tried = {first.name, second.name}
    upstream, verdict = choose_or_try(state, request_now, tried=tried)
    assert upstream is None
    assert "reached" in build_refusal(verdict).message


def test_another_data_centre_is_asked_first(state, request_now):
    fail_checks(state, "engine-1", "engine-2")
    upstream, _ = choose(state, request_now, tried=())
    assert upstream is None


def test_a_leaving_upstream_gets_nothing_in_any_case(state, request_now):
    fail_checks(state, "engine-1")
    state.runtime.upstreams.mark_leaving("engine-1")
    state.runtime.upstreams.mark_leaving("engine-2")
    upstream, _ = choose_or_try(state, request_now, tried=set())
    assert upstream is None
