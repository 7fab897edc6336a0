"""Tests of the launcher without daemons."""

import base64
import json
import os

import pytest

from hollyspan_standins.deployment import build_layouts
from hollyspan_standins.deployment import CallError
from hollyspan_standins.deployment import count_traffic
from hollyspan_standins.deployment import fetch_json
from hollyspan_standins.deployment import LINK_KINDS
from hollyspan_standins.deployment import open_deployment
from hollyspan_standins.deployment import post_json
from hollyspan_standins.deployment import ProcessExitedError
from hollyspan_standins.deployment import set_link_delays

LIST_PATH = "/apis/discovery.k8s.io/v1/endpointslices"
ENGINE = "attiki-a-engine-1"


@pytest.fixture
def deployment():
    with open_deployment(
        layouts=build_layouts("attiki", "kriti"),
        proxied=LINK_KINDS,
        start_daemons=False,
        instance_list_lag=0.0,
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
    for item in fetch_json(instances + LIST_PATH)["items"]:
        if item["metadata"]["name"] == ENGINE:
            return item["ports"][0]["port"]
    return None


def test_daemons_reach_store_and_engines_through_links(deployment):
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


def test_data_centre_isolation(deployment):
    inside_store = read_platform(deployment, "attiki-a-1")["store"]
    outside_store = read_platform(deployment, "kriti-a-1")["store"]
    local_port = find_engine_port(deployment, "attiki-a-1")
    remote_port = find_engine_port(deployment, "kriti-a-1")
    deployment.isolate_data_centre("attiki-a")
    with pytest.raises(CallError):
        read_configuration(inside_store)
    read_configuration(outside_store)
    fetch_json(f"http://127.0.0.1:{local_port}/health")
    with pytest.raises(CallError):
        fetch_json(f"http://127.0.0.1:{remote_port}/health")
    deployment.isolate_data_centre("attiki-a", is_cut=False)
    read_configuration(inside_store)


def test_region_delay_applies_only_to_links_between_regions(deployment):
    set_link_delays(deployment, region_delay=0.25)
    links = deployment.fetch_links()
    delays = {name: link["delay_seconds"] for name, link in links.items()}
    assert delays[f"upstream:kriti-a-1>{ENGINE}"] == 0.25
    assert delays["peer:kriti-a-1>attiki-a-1"] == 0.25
    assert delays[f"upstream:attiki-a-1>{ENGINE}"] == 0
    assert delays["store:attiki-a-1"] == 0


def test_traffic_is_counted_by_region(deployment):
    remote_port = find_engine_port(deployment, "kriti-a-1")
    fetch_json(f"http://127.0.0.1:{remote_port}/health")
    traffic = count_traffic(deployment)
    assert traffic["kriti", "attiki"] > 0
    assert traffic["attiki", "kriti"] > 0
    assert traffic["attiki", "attiki"] == 0


def test_engine_freeze_kill_and_restart(deployment):
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


def test_leaving_is_announced_by_upstream_and_instance_list(deployment):
    deployment.announce_leaving(ENGINE)
    health = fetch_json(f"{deployment.url(ENGINE)}/health")
    assert health == {"state": "leaving"}
    items = fetch_json(deployment.url("instances") + LIST_PATH)["items"]
    (conditions,) = [
        item["endpoints"][0]["conditions"]
        for item in items
        if item["metadata"]["name"] == ENGINE
    ]
    assert conditions["terminating"]


def test_records_are_sorted_by_time(deployment):
    for name in deployment.list_upstreams():
        request = {"model": "pips-lm", "prompt": name, "max_tokens": 1}
        post_json(f"{deployment.url(name)}/v1/completions", request)
    records = deployment.read_records()
    times = [record["time"] for record in records]
    assert times == sorted(times)
    engines = {record["engine"] for record in records}
    assert engines == set(deployment.list_upstreams())


def test_failed_start_leaves_no_process():
    children = []
    with pytest.raises(ProcessExitedError) as info:
        with open_deployment(
            engine_options=["--no-such-option"], start_daemons=False
        ) as opened:
            children.append(opened)
    assert "--no-such-option" in str(info.value)
    assert children == []


def test_processes_exit_with_context():
    with open_deployment(
        layouts=build_layouts("attiki"), start_daemons=False
    ) as opened:
        pids = [
            process.child.pid
            for process in opened.processes.values()
            if process.child
        ]
        opened.freeze(ENGINE)
    for child_pid in pids:
        with pytest.raises(ProcessLookupError):
            os.kill(child_pid, 0)
