"""Jobs during long outages and slow phases of the store."""

import json
import time

import pytest

from hollyspan_standins.caller import build_items
from hollyspan_standins.caller import RefusedError
from hollyspan_standins.checker import find_false_refusals
from hollyspan_standins.checker import find_late_dispatches
from hollyspan_standins.deployment import build_layouts
from hollyspan_standins.deployment import open_deployment

TIMING = {
    "heartbeat": 0.2,
    "peer_timeout": 1.0,
    "lease": 3.0,
    "lease_margin": 1.0,
    "watch_refresh": 2.0,
    "part_flush": 0.4,
    "store_timeout": 1.0,
}
PROMPTS = {f"i{number}": f"tide {number}" for number in range(50)}
# A chunk of such items runs much longer than a lease.
LONG_TOKENS = 200


@pytest.fixture
def deployment():
    with open_deployment(
        layouts=build_layouts("attiki", "kriti"), timing=TIMING
    ) as deployment:
        yield deployment


@pytest.fixture
def tester(deployment, create_tester):
    return create_tester(deployment=deployment)


def create_rejected_batch(tester, file, **headers):
    """Create a batch, which must be rejected; return the error object."""
    request = {
        "input_file_id": file["id"],
        "endpoint": "/v1/chat/completions",
        "completion_window": "24h",
        "metadata": {"copy": "new"},
    }
    with pytest.raises(RefusedError) as error_info:
        tester.open_caller().post("/v1/batches", request, **headers)
    assert error_info.value.status == 503
    return json.loads(error_info.value.body)["error"]


def test_outage_longer_than_the_lease(deployment, tester):
    caller = tester.open_caller()
    file = caller.upload(build_items(PROMPTS, model="pips-lm"))
    batch = tester.submit(PROMPTS, max_tokens=LONG_TOKENS)
    tester.wait_until(
        lambda: tester.count_events("admitted", batch=batch) >= 12
    )
    deployment.control("store", outage=True)
    outage_start = time.time()
    assert create_rejected_batch(tester, file)["outcome"] == "not_run"
    rejected_at = time.time()
    keyed = create_rejected_batch(tester, file, **{"idempotency-key": "k"})
    assert keyed["outcome"] == "unknown"
    time.sleep(TIMING["lease"] + 2.0)
    outage_end = time.time()
    deployment.control("store", outage=False)
    batch = tester.wait(batch)
    lines = tester.check_complete(PROMPTS, batch)
    assert [line for line in lines if line["error"]] == []
    records = [
        record
        for record in deployment.read_records()
        if record["time"] < outage_end
    ]
    lease_end = outage_start + TIMING["lease"]
    assert find_late_dispatches(records, lease_end) == []
    assert find_false_refusals([(file["id"], rejected_at)], records) == []


def test_slow_store(deployment, tester):
    deployment.control("store", delay_seconds=0.3)
    batch = tester.wait(tester.submit(PROMPTS))
    tester.check_complete(PROMPTS, batch)
    deployment.control("store", delay_seconds=0.0)


def test_outage_and_holder_killed(deployment, tester):
    batch = tester.submit(PROMPTS, max_tokens=LONG_TOKENS)
    tester.wait_until(
        lambda: tester.count_events("admitted", batch=batch) >= 12
    )
    deployment.control("store", outage=True)
    time.sleep(0.5)
    deployment.kill(deployment.daemon_names[1])
    time.sleep(1.0)
    deployment.control("store", outage=False)
    deployment.start(deployment.daemon_names[1])
    batch = tester.wait(batch)
    tester.check_complete(PROMPTS, batch)


def test_watch_silent_from_the_start(deployment, tester):
    deployment.control("store", silent_watches=True)
    batch = tester.wait(tester.submit(PROMPTS))
    tester.check_complete(PROMPTS, batch)
