"""Isolation of a data centre, and long outages of the store."""

import time

import pytest

from hollyspan_standins.caller import Caller
from hollyspan_standins.caller import Operator
from hollyspan_standins.deployment import build_layouts
from hollyspan_standins.deployment import open_deployment

MODEL = "pips-lm"
API_KEY = "dev-key"
TIMING = {
    "heartbeat": 0.2,
    "peer_timeout": 1.0,
    "lease": 6.0,
    "lease_margin": 1.0,
    "watch_refresh": 2.0,
    "store_timeout": 1.0,
}
# Longer than a lease.
CUT_DURATION_S = 8.0
IN_FORCE_TIMEOUT_S = 12.0
PROMPTS = {f"item-{i}": f"reorder note {i}" for i in range(60)}
ITEM_TOKENS = 150
ONLINE_TOKENS = 8


@pytest.fixture(name="deployment")
def start_deployment():
    """Start three data centres with all links proxied."""
    layouts = build_layouts(
        "attiki", "makedonia", "kriti", daemons=2, services=()
    )
    with open_deployment(
        layouts=layouts,
        proxied=["store", "instances", "upstreams", "peers"],
        timing=TIMING,
    ) as deployment:
        yield deployment


def send_online(deployment, daemons, *, seconds):
    """Send online requests to daemons in turn; return the request count.

    An unsuccessful answer raises an exception.
    """
    deadline = time.monotonic() + seconds
    count = 0
    while time.monotonic() < deadline:
        for name in daemons:
            caller = Caller(url=deployment.url(name), key=API_KEY)
            answer = caller.post(
                "/v1/completions",
                {
                    "model": MODEL,
                    "prompt": f"drift note {name} {count}",
                    "max_tokens": ONLINE_TOKENS,
                },
            )
            assert answer["choices"][0]["finish_reason"]
            count += 1
    return count


def count_online(deployment, engines, *, since):
    return sum(
        record["event"] == "finished"
        and record["class"] == "online"
        and record["time"] >= since
        for record in deployment.read_records(*engines)
    )


def list_daemons(deployment, data_centre):
    return [
        daemon.name
        for daemon in deployment.daemons
        if daemon.data_centre == data_centre
    ]


def test_a_data_centre_that_is_cut_off(deployment, create_tester):
    tester = create_tester(deployment=deployment)
    operator = Operator(deployment=deployment)
    cut_off_daemons = list_daemons(deployment, "kriti-a")
    connected_daemons = [
        n for n in deployment.daemon_names if n not in cut_off_daemons
    ]
    batch = tester.submit(PROMPTS, max_tokens=ITEM_TOKENS)
    engines = deployment.list_upstreams(data_centre="kriti-a")
    tester.wait_until(
        lambda: any(
            record["class"] == "batch"
            for record in deployment.read_records(*engines)
        )
    )
    assert deployment.isolate_data_centre("kriti-a")
    since = time.time()
    generation = operator.submit_change(
        connected_daemons[0], reason="while it is cut off"
    )
    sent = send_online(deployment, cut_off_daemons, seconds=CUT_DURATION_S)
    assert count_online(deployment, engines, since=since) == sent
    deployment.isolate_data_centre("kriti-a", is_cut=False)
    operator.wait_in_force(
        generation, daemons=deployment.daemon_names, seconds=IN_FORCE_TIMEOUT_S
    )
    batch = tester.wait(batch)
    lines = tester.check_complete(PROMPTS, batch, daemon=-1)
    assert [line for line in lines if line["error"]] == []


def test_long_store_outage(deployment, create_tester):
    tester = create_tester(deployment=deployment)
    batch = tester.submit(PROMPTS, max_tokens=ITEM_TOKENS)
    tester.wait_until(
        lambda: tester.count_events("admitted", batch=batch) >= 12
    )
    deployment.control("store", outage=True)
    outage_start = time.time()
    sent = send_online(
        deployment, deployment.daemon_names, seconds=CUT_DURATION_S
    )
    engines = deployment.list_upstreams()
    assert count_online(deployment, engines, since=outage_start) == sent
    # Jobs continue while a lease renewed before the outage is still valid.
    lease_trusted_until = outage_start + TIMING["lease"] / 2
    finished = [
        record["time"]
        for record in deployment.read_records(*engines)
        if record["event"] == "finished" and record["class"] == "batch"
    ]
    assert any(
        outage_start < finished_at < lease_trusted_until
        for finished_at in finished
    )
    deployment.control("store", outage=False)
    batch = tester.wait(batch)
    tester.check_complete(PROMPTS, batch)
