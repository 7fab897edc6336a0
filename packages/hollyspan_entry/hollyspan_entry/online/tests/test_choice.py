"""Tests of the choice of the upstream for an attempt."""

import time
from types import SimpleNamespace

import pytest

from hollyspan_entry.online.choice import build_overload_error
from hollyspan_entry.online.choice import choose_local_upstream
from hollyspan_entry.online.choice import choose_with_fallback
from hollyspan_entry.upstreams import Upstream
from hollyspan_entry.upstreams import UpstreamRegistry
from hollyspan_policy.routing import AffinityTable


@pytest.fixture
def state():
    """Return a state with two engines of one service in one data centre."""
    upstreams = UpstreamRegistry()
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
def request_with_deadline():
    return SimpleNamespace(
        service="pips-lm",
        deadline=time.monotonic() + 5.0,
        blocks=[],
        identifier="r",
    )


def fail_health_checks(state, *names):
    for name in names:
        state.runtime.upstreams.by_name[name].reachable = False


def test_unreachable_upstream_is_skipped(state, request_with_deadline):
    fail_health_checks(state, "engine-1")
    upstream, _ = choose_with_fallback(
        state, request_with_deadline, tried=set()
    )
    assert upstream.name == "engine-2"


def test_unreachable_upstreams_are_tried_if_no_other_is_left(
    state, request_with_deadline
):
    fail_health_checks(state, "engine-1", "engine-2")
    first, _ = choose_with_fallback(state, request_with_deadline, tried=set())
    second, _ = choose_with_fallback(
        state, request_with_deadline, tried={first.name}
    )
    assert {first.name, second.name} == {"engine-1", "engine-2"}
    tried = {first.name, second.name}
    upstream, decision = choose_with_fallback(
        state, request_with_deadline, tried=tried
    )
    assert upstream is None
    assert "reached" in build_overload_error(decision).message


def test_local_choice_excludes_unreachable_upstreams(
    state, request_with_deadline
):
    fail_health_checks(state, "engine-1", "engine-2")
    upstream, _ = choose_local_upstream(state, request_with_deadline, tried=())
    assert upstream is None


def test_leaving_upstreams_are_never_chosen(state, request_with_deadline):
    fail_health_checks(state, "engine-1")
    state.runtime.upstreams.mark_leaving("engine-1")
    state.runtime.upstreams.mark_leaving("engine-2")
    upstream, _ = choose_with_fallback(
        state, request_with_deadline, tried=set()
    )
    assert upstream is None
