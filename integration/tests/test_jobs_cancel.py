"""A cancelled job stops, also under faults."""

from concurrent.futures import ThreadPoolExecutor
import random
import time

import pytest

from hollyspan_standins.caller import RefusedError
from hollyspan_standins.checker import find_duplicate_results
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
PROMPTS = {f"i{number}": f"tide {number}" for number in range(200)}
# A chunk of such items runs much longer than any timeout below.
LONG_TOKENS = 400
CANCEL_TIMEOUT_S = 5.0


@pytest.fixture
def deployment():
    with open_deployment(
        layouts=build_layouts("attiki", "kriti"),
        timing=TIMING,
        proxied=("store",),
    ) as deployment:
        yield deployment


@pytest.fixture
def tester(deployment, create_tester):
    return create_tester(deployment=deployment)


def cancel(tester, batch, *, daemon=0):
    path = f"/v1/batches/{batch['id']}/cancel"
    return tester.open_caller(daemon).post(path, {})


def check_stopped(tester, batch, *, since, daemon=0):
    """Check that a cancelled job has stopped; return its result lines."""
    batch = tester.wait(batch, daemon=daemon)
    assert batch["status"] == "cancelled"
    time.sleep(1.0)
    records = tester.deployment.read_records()
    late = find_late_dispatches(records, since, key_prefix=batch["id"])
    assert late == []
    lines = tester.read_results(batch, daemon=daemon)
    assert find_duplicate_results(lines) == []
    counts = batch["request_counts"]
    assert counts["completed"] + counts["failed"] == len(lines)
    assert len(lines) < len(PROMPTS)
    return lines


def list_running_streams(deployment, batch):
    """Return the streams of a batch that still run on an engine."""
    running = set()
    for record in deployment.read_records():
        if not (record.get("key") or "").startswith(batch["id"]):
            continue
        if record["event"] in ("admitted", "resumed"):
            running.add(record["stream"])
        elif record["event"] in ("finished", "cancelled", "broken"):
            running.discard(record["stream"])
    return running


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_cancel_while_chunks_are_claimed_and_run(deployment, tester, seed):
    delay = random.Random(seed).uniform(0.0, 1.2)
    batch = tester.submit(PROMPTS, max_tokens=LONG_TOKENS)
    time.sleep(delay)
    cancel(tester, batch, daemon=1)
    check_stopped(tester, batch, since=time.time() + 1.0)
    assert list_running_streams(deployment, batch) == set()


def test_finished_items_stay_readable(deployment, tester):
    batch = tester.submit(PROMPTS, max_tokens=8)
    tester.wait_until(
        lambda: tester.count_events("finished", batch=batch) >= 30
    )
    cancel(tester, batch)
    lines = check_stopped(tester, batch, since=time.time() + 1.0)
    assert len(lines) >= 30
    for name in deployment.daemon_names:
        assert deployment.restart(name) == 0
    batch = tester.wait(batch, daemon=1)
    assert tester.read_results(batch, daemon=1) == lines


def test_cancel_while_streams_are_preempted(deployment, tester):
    batch = tester.submit(PROMPTS, max_tokens=LONG_TOKENS)
    tester.wait_until(
        lambda: tester.count_events("admitted", batch=batch) >= 12
    )
    caller = tester.open_caller()
    request = {
        "model": "pips-lm",
        "max_tokens": 60,
        "messages": [{"role": "user", "content": "drift"}],
    }

    def send_online(number):
        return "".join(caller.stream("/v1/chat/completions", request))

    with ThreadPoolExecutor(max_workers=12) as pool:
        answers = [pool.submit(send_online, number) for number in range(12)]
        tester.wait_until(
            lambda: tester.count_events("cancelled", batch=batch) > 0
        )
        cancel(tester, batch)
        assert len({answer.result() for answer in answers}) == 1
    check_stopped(tester, batch, since=time.time() + CANCEL_TIMEOUT_S)


def test_lost_reply_to_the_cancel(deployment, tester):
    batch = tester.submit(PROMPTS, max_tokens=LONG_TOKENS)
    deployment.control("store", lose_replies=True, lose_matching="jobs/")
    assert cancel(tester, batch)["status"] == "cancelling"
    since = time.time() + CANCEL_TIMEOUT_S
    deployment.control("store", lose_replies=0)
    check_stopped(tester, batch, since=since)


def test_cancel_without_any_reply(deployment, tester):
    batch = tester.submit(PROMPTS, max_tokens=LONG_TOKENS)
    link = f"store:{deployment.daemon_names[0]}"
    deployment.set_link_faults(link, drop_replies=True)
    with pytest.raises(RefusedError) as error_info:
        cancel(tester, batch)
    assert error_info.value.status == 503
    deployment.set_link_faults(link, drop_replies=False)
    assert cancel(tester, batch)["status"] in ("cancelling", "cancelled")
    check_stopped(tester, batch, since=time.time() + CANCEL_TIMEOUT_S)


def test_cancel_without_the_watch(deployment, tester):
    deployment.control("store", silent_watches=True)
    batch = tester.submit(PROMPTS, max_tokens=LONG_TOKENS)
    tester.wait_until(
        lambda: tester.count_events("admitted", batch=batch) >= 12
    )
    cancel(tester, batch, daemon=1)
    check_stopped(tester, batch, since=time.time() + CANCEL_TIMEOUT_S)


def test_holder_cut_off_from_the_store(deployment, tester):
    batch = tester.submit(PROMPTS, max_tokens=LONG_TOKENS)
    tester.wait_until(
        lambda: tester.count_events("admitted", batch=batch) >= 12
    )
    assert deployment.daemon_names[0] in tester.find_holders(batch)
    deployment.set_link_faults(f"store:{deployment.daemon_names[0]}", cut=True)
    cancel(tester, batch, daemon=1)
    since = time.time() + TIMING["lease"] + TIMING["lease_margin"]
    check_stopped(tester, batch, since=since, daemon=1)
    assert list_running_streams(deployment, batch) == set()


def test_holder_frozen_during_the_cancel(deployment, tester):
    batch = tester.submit(PROMPTS, max_tokens=LONG_TOKENS)
    tester.wait_until(
        lambda: tester.count_events("admitted", batch=batch) >= 12
    )
    assert deployment.daemon_names[0] in tester.find_holders(batch)
    deployment.freeze(deployment.daemon_names[0])
    cancel(tester, batch, daemon=1)
    time.sleep(TIMING["lease"] + 1.0)
    before = tester.wait(batch, daemon=1)
    deployment.thaw(deployment.daemon_names[0])
    since = time.time()
    check_stopped(tester, batch, since=since, daemon=1)
    assert tester.wait(batch) == before
