"""Tests of the launcher, without daemons."""

import base64
import json
import os

import pytest

from hollyspan_standins.deployment import build_places
from hollyspan_standins.deployment import CallError
from hollyspan_standins.deployment import fetch_json
from hollyspan_standins.deployment import LINK_KINDS
from hollyspan_standins.deployment import open_deployment
from hollyspan_standins.deployment import post_json
from hollyspan_standins.deployment import ProcessExitedError

LIST = "/apis/discovery.k8s.io/v1/endpointslices"
ENGINE = "attiki-a-engine-1"


@pytest.fixture
def deployment():
    with open_deployment(
        places=build_places("attiki", "kriti"),
        proxied=LINK_KINDS,
        start_daemons=False,
        list_lag=0.0,
    ) as opened:
        yield opened
    assert set(opened.stop_codes.values()) == {0}


def read_platform(deployment, daemon):
    path = deployment.folder / f"{daemon}.settings.json"
    return json.loads(path.read_text())["platform"]


def read_configuration(store):
    key = base64.b64encode(b"configuration/current").decode()
    answer = post_json(f"{store}/v3/kv/range", {"key": key})
    value = base64.b64decode(answer["kvs"][0]["value"])
    return json.loads(value[16:])


def find_engine_port(deployment, daemon):
    instances = read_platform(deployment, daemon)["instances"]
    for item in fetch_json(instances + LIST)["items"]:
        if item["metadata"]["name"] == ENGINE:
            return item["ports"][0]["port"]
    return None


def test_daemons_reach_store_and_engines_through_their_links(deployment):
    store = read_platform(deployment, "attiki-a-1")["store"]
    assert read_configuration(store)["generation"] == 1
    ports = {
        find_engine_port(deployment, name) for name in deployment.daemon_names
    }
    assert len(ports) == 2
    assert deployment.ports[ENGINE] not in ports
    for port in ports:
        health = fetch_json(f"http://127.0.0.1:{port}/health")
        assert health == {"state": "serving"}


def test_a_data_centre_can_be_cut_off(deployment):
    inside = read_platform(deployment, "attiki-a-1")["store"]
    outside = read_platform(deployment, "kriti-a-1")["store"]
    near = find_engine_port(deployment, "attiki-a-1")
    far = find_engine_port(deployment, "kriti-a-1")
    deployment.cut_off("attiki-a")
    with pytest.raises(CallError):
        read_configuration(inside)
    read_configuration(outside)
    fetch_json(f"http://127.0.0.1:{near}/health")
    with pytest.raises(CallError):
        fetch_json(f"http://127.0.0.1:{far}/health")
    deployment.cut_off("attiki-a", is_cut=False)
    read_configuration(inside)


def test_an_engine_is_killed_frozen_and_started_on_its_port(deployment):
    url = deployment.url(ENGINE)
    deployment.freeze(ENGINE)
    with pytest.raises(CallError):
        fetch_json(f"{url}/health", timeout=0.3)
    deployment.thaw(ENGINE)
    fetch_json(f"{url}/health")
    deployment.kill(ENGINE)
    with pytest.raises(CallError):
        fetch_json(f"{url}/health")
    deployment.start(ENGINE)
    fetch_json(f"{url}/health")
    assert deployment.restart(ENGINE) == 0
    fetch_json(f"{url}/health")


def test_leaving_is_announced_by_itself_and_by_the_list(deployment):
    deployment.set_leaving(ENGINE)
    health = fetch_json(f"{deployment.url(ENGINE)}/health")
    assert health == {"state": "leaving"}
    items = fetch_json(deployment.url("instances") + LIST)["items"]
    (conditions,) = [
        item["endpoints"][0]["conditions"]
        for item in items
        if item["metadata"]["name"] == ENGINE
    ]
    assert conditions["terminating"]


def test_records_are_read_in_order(deployment):
    for name in deployment.list_upstreams():
        request = {"model": "pips-lm", "prompt": name, "max_tokens": 1}
        post_json(f"{deployment.url(name)}/v1/completions", request)
    records = deployment.read_records()
    times = [record["time"] for record in records]
    assert times == sorted(times)
    engines = {record["engine"] for record in records}
    assert engines == set(deployment.list_upstreams())


def test_a_failed_start_leaves_no_process():
    children = []
    with pytest.raises(ProcessExitedError) as info:
        with open_deployment(
            engine_options=["--no-such-option"], start_daemons=False
        ) as opened:
            children.append(opened)
    assert "--no-such-option" in str(info.value)
    assert children == []


def test_processes_have_ended_after_the_block():
    with open_deployment(
        places=build_places("attiki"), start_daemons=False
    ) as opened:
        numbers = [
            process.child.pid
            for process in opened.processes.values()
            if process.child
        ]
        opened.freeze(ENGINE)
    for number in numbers:
        with pytest.raises(ProcessLookupError):
            os.kill(number, 0)
