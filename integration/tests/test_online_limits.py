"""Retries and limits under load."""

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
SETTLE_SECONDS = 2.0
REQUESTS = 200
BUDGET_RATIO = 0.1
# What the budget may have saved up before.
SAVED_RETRIES = 10


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
        time.sleep(SETTLE_SECONDS)
        yield deployment


def ask(deployment, prompt, *, key="modest-key", tokens=4, headers=None):
    document = {
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
    }
    url = deployment.url(deployment.daemon_names[0])
    return exchange(url, CHAT, document=document, key=key, headers=headers)


def count_starts(deployment):
    return sum(
        record["event"] in ("received", "refused")
        for record in deployment.read_records()
    )


def test_one_failing_upstream_is_retried_elsewhere(deployment):
    """First, while the budget holds the retry that it starts with."""
    deployment.control(deployment.list_upstreams()[0], fail_starts=1)
    replies = [ask(deployment, f"once {number}") for number in range(20)]
    assert all(reply.is_complete for reply in replies)


def test_failing_upstreams_do_not_multiply_the_load(deployment):
    engines = deployment.list_upstreams()
    for engine in engines:
        deployment.control(engine, fail_starts=True)
    before = count_starts(deployment)
    with ThreadPoolExecutor(4) as pool:
        replies = list(
            pool.map(
                lambda n: ask(deployment, f"failing {n}"), range(REQUESTS)
            )
        )
    starts = count_starts(deployment) - before
    for engine in engines:
        deployment.control(engine, fail_starts=0)
    assert all(reply.status >= 500 for reply in replies)
    most = REQUESTS * (1 + BUDGET_RATIO) + SAVED_RETRIES
    assert REQUESTS < starts <= most


def test_greedy_workspace_does_not_starve_another(deployment):
    """The modest one's requests are taken in while the other floods."""
    stopped = threading.Event()
    refused = []

    def flood(number):
        while not stopped.is_set():
            reply = ask(
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
        replies = [ask(deployment, f"modest {n}") for n in range(10)]
        stopped.set()
    assert refused
    assert all(reply.is_complete for reply in replies)


def test_deadline_ends_a_request(deployment):
    # The load reports of the test before must not refuse it on arrival.
    time.sleep(SETTLE_SECONDS)
    started = time.monotonic()
    reply = ask(
        deployment,
        "[[slow]] drift",
        tokens=40,
        headers={"x-deadline-ms": "1500"},
    )
    assert time.monotonic() - started < 5
    assert reply.status == 504
    assert reply.error["code"] == "deadline_exceeded"
    assert reply.outcome == "unknown"
