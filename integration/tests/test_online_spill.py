"""Requests beyond the local data centre's capacity."""

from concurrent.futures import ThreadPoolExecutor
import time

import pytest

from hollyspan_standins.caller import exchange
from hollyspan_standins.checker import find_wrong_answers
from hollyspan_standins.deployment import DataCentreLayout
from hollyspan_standins.deployment import open_deployment
from hollyspan_standins.engine import generate_expected_text

MODEL = "pips-lm"
CHAT = "/v1/chat/completions"
SLOTS = 2
REQUESTS = 12
TOKENS = 80
SETTLE_TIME_S = 3.0


@pytest.fixture(scope="module")
def deployment():
    layouts = [
        DataCentreLayout(data_centre="attiki-a", region="attiki"),
        DataCentreLayout(data_centre="kriti-a", region="kriti", engines=4),
    ]
    with open_deployment(
        layouts=layouts, slots=SLOTS, engine_options=["--speed", "0.5"]
    ) as deployment:
        time.sleep(SETTLE_TIME_S)
        yield deployment


def send_request(deployment, prompt, *, stream):
    document = {
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": TOKENS,
        "stream": stream,
    }
    url = deployment.url(deployment.daemon_names[0])
    return exchange(url, CHAT, document=document)


def test_requests_run_where_capacity_is_free(deployment):
    prompts = [f"spill {number}" for number in range(REQUESTS)]
    with ThreadPoolExecutor(REQUESTS) as pool:
        replies = list(
            pool.map(
                lambda n: send_request(
                    deployment, prompts[n], stream=n % 2 > 0
                ),
                range(REQUESTS),
            )
        )
    assert [r.error for r in replies if not r.is_complete] == []
    answers = [
        (
            prompt,
            reply.text,
            generate_expected_text(
                model=MODEL, prompt=f"user:{prompt}", max_tokens=TOKENS
            ),
        )
        for prompt, reply in zip(prompts, replies)
    ]
    assert find_wrong_answers(answers) == []
    remote_engines = deployment.list_upstreams(data_centre="kriti-a")
    runs = [
        record
        for record in deployment.read_records(*remote_engines)
        if record["event"] == "received"
    ]
    assert runs
    assert len({record["key"] for record in runs}) == len(runs)
