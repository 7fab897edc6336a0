"""Tests of reading and applying the instance list."""

import json

from hypothesis import given
from hypothesis import strategies
import pytest

from hollyspan_core.errors import InstanceListError
from hollyspan_entry.configurations import ConfigurationHolder
from hollyspan_entry.instances import parse_slices
from hollyspan_entry.instances import part
from hollyspan_entry.instances import Registration
from hollyspan_entry.instances.registration import REMOVAL_DELAY_S
from hollyspan_entry.runtime import Runtime
from hollyspan_entry.upstreams import UpstreamRegistry

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3),
    max_leaves=10,
)


def build_slice(name="e1", *, kind="engine", port=1, **conditions):
    return {
        "metadata": {
            "labels": {
                "kubernetes.io/service-name": "pips-lm",
                "hollyspan.io/kind": kind,
            }
        },
        "ports": [{"name": "http", "port": port}, {"name": "peer", "port": 2}],
        "endpoints": [
            {
                "addresses": ["127.0.0.1"],
                "conditions": conditions,
                "zone": "attiki-a",
                "targetRef": {"name": name},
            }
        ],
    }


def parse(*slices):
    return parse_slices(json.dumps({"items": slices}).encode())


@pytest.fixture(name="registration")
def make_registration():
    """Return a registration with an empty runtime."""
    runtime = Runtime(
        settings=None,
        reactor=None,
        agent=None,
        store=None,
        configurations=ConfigurationHolder(),
        upstreams=UpstreamRegistry(),
        members=None,
        root=None,
        incarnation=1,
        create_token=None,
    )
    runtime.upstreams.leaving_listeners.append(part.build_announcer(runtime))
    return Registration(runtime=runtime)


def list_states(registration):
    upstreams = registration.runtime.upstreams.by_name
    return {name: upstream.leaving for name, upstream in upstreams.items()}


def test_upstreams_and_daemons_are_registered(registration):
    registration.apply(
        parse(build_slice("e1"), build_slice("d1", kind="daemon")), now=0.0
    )
    assert list_states(registration) == {"e1": False}
    assert registration.runtime.seeds["d1"].peer_port == 2


@pytest.mark.parametrize(
    "conditions", [{"terminating": True}, {"ready": False}]
)
def test_terminating_or_unready_upstream_is_leaving(registration, conditions):
    registration.apply(parse(build_slice("e1")), now=0.0)
    registration.apply(parse(build_slice("e1", **conditions)), now=1.0)
    assert list_states(registration) == {"e1": True}


def test_unready_upstream_is_not_added(registration):
    registration.apply(parse(build_slice("e1", ready=False)), now=0.0)
    assert list_states(registration) == {}


def test_stale_list_does_not_restore_leaving_upstream(registration):
    registration.apply(parse(build_slice("e1")), now=0.0)
    registration.runtime.upstreams.mark_leaving("e1")
    registration.apply(parse(build_slice("e1")), now=1.0)
    assert list_states(registration) == {"e1": True}


def test_new_upstream_with_same_name_is_added(registration):
    registration.apply(parse(build_slice("e1")), now=0.0)
    registration.runtime.upstreams.mark_leaving("e1")
    registration.apply(parse(build_slice("e1", port=9)), now=1.0)
    assert list_states(registration) == {"e1": False}


def test_announcement_before_first_listing_is_applied(registration):
    departures = registration.runtime.departures
    departures.announce("e1", now=0.0)
    registration.apply(parse(build_slice("e1")), now=1.0)
    assert list_states(registration) == {"e1": True}
    registration.apply(
        parse(build_slice("e1")), now=departures.block_seconds + 1
    )
    assert list_states(registration) == {"e1": False}


def test_missing_upstream_is_removed_when_idle(registration):
    registration.apply(parse(build_slice("e1"), build_slice("e2")), now=0.0)
    registration.runtime.upstreams.by_name["e1"].online = 1
    registration.apply(parse(build_slice("e2")), now=1.0)
    assert list_states(registration) == {"e1": True, "e2": False}
    registration.apply(parse(build_slice("e2")), now=1.0 + REMOVAL_DELAY_S)
    assert "e1" in list_states(registration)
    registration.runtime.upstreams.by_name["e1"].online = 0
    registration.apply(parse(build_slice("e2")), now=2.0 + REMOVAL_DELAY_S)
    assert list_states(registration) == {"e2": False}


def test_empty_list_removes_nothing(registration):
    registration.apply(parse(build_slice("e1")), now=0.0)
    registration.apply([], now=1.0)
    assert list_states(registration) == {"e1": False}


@given(JSON)
def test_malformed_list_raises_typed_error(document):
    for content in (document, {"items": [document]}):
        try:
            parse_slices(json.dumps(content).encode())
        except InstanceListError:
            pass


@given(strategies.binary(max_size=50))
def test_invalid_json_raises_typed_error(content):
    with pytest.raises(InstanceListError):
        parse_slices(content + b"{")
