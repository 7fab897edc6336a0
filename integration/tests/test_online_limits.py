"""Retry budget, workspace limits and deadlines under load."""

from concurrent.futures import ThreadPoolExecutor
import threading
import time

import pytest

from hollyspan_standins.caller import exchange
from hollyspan_standins.deployment import build_configuration
from hollyspan_standins.deployment import DataCentreLayout
from hollyspan_standins.deployment import open_deployment

MODEL = "pips-lm"
CHAT = "/v1/chat/completions"
KEYS = {"greedy-key": "greedy", "modest-key": "modest"}
SLOTS = 4
SETTLE_TIME_S = 2.0
REQUESTS = 200
BUDGET_RATIO = 0.1
# Retries that the budget may have accumulated before a test.
MAX_SAVED_RETRIES = 10


@pytest.fixture(scope="module")
def deployment():
    configuration = build_configuration(
        model=MODEL,
        services=["clock"],
        slots=SLOTS,
        keys=KEYS,
        retry={"budget_ratio": BUDGET_RATIO, "attempts": 2},
        workspace={"requests_per_second": 1000, "concurrent_requests": 40},
    )
    layouts = [
        DataCentreLayout(data_centre="attiki-a", region="attiki", engines=2)
    ]
    with open_deployment(
        layouts=layouts, slots=SLOTS, configuration=configuration
    ) as deployment:
        time.sleep(SETTLE_TIME_S)
        yield deployment


def send_request(
    deployment, prompt, *, key="modest-key", tokens=4, headers=None
):
    document = {
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
    }
    url = deployment.url(deployment.daemon_names[0])
    return exchange(url, CHAT, document=document, key=key, headers=headers)


def count_start_attempts(deployment):
    return sum(
        record["event"] in ("received", "refused")
        for record in deployment.read_records()
    )


def test_one_failing_upstream_is_retried_elsewhere(deployment):
    """Runs first, while the budget still has its initial retry."""
    deployment.control(deployment.list_upstreams()[0], fail_starts=1)
    replies = [
        send_request(deployment, f"once {number}") for number in range(20)
    ]
    assert all(reply.is_complete for reply in replies)


def test_failing_upstreams_do_not_multiply_the_load(deployment):
    engines = deployment.list_upstreams()
    for engine in engines:
        deployment.control(engine, fail_starts=True)
    before = count_start_attempts(deployment)
    with ThreadPoolExecutor(4) as pool:
        replies = list(
            pool.map(
                lambda n: send_request(deployment, f"failing {n}"),
                range(REQUESTS),
            )
        )
    starts = count_start_attempts(deployment) - before
    for engine in engines:
        deployment.control(engine, fail_starts=0)
    assert all(reply.status >= 500 for reply in replies)
    max_starts = REQUESTS * (1 + BUDGET_RATIO) + MAX_SAVED_RETRIES
    assert REQUESTS < starts <= max_starts


def test_greedy_workspace_does_not_starve_another(deployment):
    """Requests of one workspace are admitted while another one floods."""
    stopped = threading.Event()
    refused = []

    def flood(number):
        while not stopped.is_set():
            reply = send_request(
                deployment, f"flood {number}", key="greedy-key", tokens=60
            )
            if reply.status in (429, 503):
                assert int(reply.headers["Retry-After"]) >= 1
                refused.append(reply)
                time.sleep(0.05)

    with ThreadPoolExecutor(60) as pool:
        for number in range(60):
            pool.submit(flood, number)
        time.sleep(1.0)
        replies = [send_request(deployment, f"modest {n}") for n in range(10)]
        stopped.set()
    assert refused
    assert all(reply.is_complete for reply in replies)


def test_deadline_ends_a_request(deployment):
    # Load reports of the previous test must not cause a rejection on arrival.
    time.sleep(SETTLE_TIME_S)
    started = time.monotonic()
    reply = send_request(
        deployment,
        "[[slow]] drift",
        tokens=40,
        headers={"x-deadline-ms": "1500"},
    )
    assert time.monotonic() - started < 5
    assert reply.status == 504
    assert reply.error["code"] == "deadline_exceeded"
    assert reply.outcome == "unknown"
