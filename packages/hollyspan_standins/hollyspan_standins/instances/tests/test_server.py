"""Tests of the instance list."""

import json
import time

import pytest

from hollyspan_standins.deployment import CallError
from hollyspan_standins.deployment import fetch_json
from hollyspan_standins.deployment import pick_port
from hollyspan_standins.deployment import post_json

LIST_PATH = "/apis/discovery.k8s.io/v1/endpointslices"
SELECTOR = "?labelSelector=kubernetes.io/service-name="
ENTRY = {
    "name": "engine-1",
    "service": "pips-lm",
    "kind": "engine",
    "ports": {"http": 8000},
    "zone": "attiki-a",
    "views": {"attiki-a-1": {"http": 9000}},
}
# Longer than any test runs.
LONG_LAG_S = "600"


@pytest.fixture
def start_list(start_standin, tmp_path):
    """Return a function that starts a list with one entry and a view."""
    initial = tmp_path / "initial.json"
    initial.write_text(json.dumps([ENTRY]))
    views = tmp_path / "views.json"

    def start(lag):
        port = pick_port()
        views.write_text(json.dumps({"attiki-a-1": port}))
        options = ["--initial", str(initial), "--views", str(views)]
        process = start_standin("instances", "--lag", lag, *options)
        process.view_url = f"http://127.0.0.1:{port}"
        return process

    return start


def list_slices(url, selector=""):
    return fetch_json(url + LIST_PATH + selector)["items"]


def wait_for(condition):
    deadline = time.monotonic() + 20
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.02)


def test_initial_entry_is_listed_immediately(start_list):
    process = start_list(LONG_LAG_S)
    (item,) = list_slices(process.url, SELECTOR + "pips-lm")
    assert item["metadata"]["labels"] == {
        "kubernetes.io/service-name": "pips-lm",
        "hollyspan.io/kind": "engine",
    }
    assert item["ports"][0]["port"] == 8000
    endpoint = item["endpoints"][0]
    assert endpoint["addresses"] == ["127.0.0.1"]
    assert endpoint["zone"] == "attiki-a"
    assert endpoint["targetRef"]["name"] == "engine-1"
    assert endpoint["conditions"] == {
        "ready": True,
        "serving": True,
        "terminating": False,
    }
    assert list_slices(process.url, SELECTOR + "other") == []


def test_view_has_its_own_ports(start_list):
    process = start_list(LONG_LAG_S)
    assert list_slices(process.view_url)[0]["ports"][0]["port"] == 9000


def test_change_is_not_listed_before_the_lag(start_list):
    process = start_list(LONG_LAG_S)
    change = {"name": "engine-1"}
    post_json(f"{process.url}/control/deregister", change)
    assert len(list_slices(process.url)) == 1


def test_changes_are_listed_after_the_lag(start_list):
    process = start_list("0.05")
    change = {"name": "engine-1", "ready": False, "terminating": True}
    post_json(f"{process.url}/control/set", change)

    def is_terminating():
        (item,) = list_slices(process.url)
        return item["endpoints"][0]["conditions"] == {
            "ready": False,
            "serving": True,
            "terminating": True,
        }

    wait_for(is_terminating)
    other = {**ENTRY, "name": "engine-2"}
    post_json(f"{process.url}/control/register", other)
    wait_for(lambda: len(list_slices(process.url)) == 2)
    change = {"name": "engine-1"}
    post_json(f"{process.url}/control/deregister", change)
    wait_for(lambda: len(list_slices(process.url)) == 1)


def test_outage_rejects_calls(start_list):
    process = start_list(LONG_LAG_S)
    post_json(f"{process.url}/control", {"outage": True})
    with pytest.raises(CallError):
        list_slices(process.url)
    post_json(f"{process.url}/control", {"outage": False})
    assert len(list_slices(process.url)) == 1
