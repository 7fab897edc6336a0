"""Requests that the own data centre has no room for run in another one."""

from concurrent import futures
import time

import pytest

from hollyspan_standins.caller import Caller
from hollyspan_standins.caller import Operator
from hollyspan_standins.caller import RefusedError
from hollyspan_standins.caller import StreamCutError
from hollyspan_standins.deployment import build_layouts
from hollyspan_standins.deployment import CALLER_KEY
from hollyspan_standins.deployment import open_deployment

MODEL = "pips-lm"
SLOTS = 4
REQUESTS = 16
TOKENS = 60
SETTLE_SECONDS = 3.0


@pytest.fixture(name="deployment")
def start_deployment():
    """Return two data centres with few slots, their peers proxied."""
    layouts = build_layouts("attiki", "kriti", services=())
    with open_deployment(
        layouts=layouts, slots=SLOTS, proxied=["peers"]
    ) as deployment:
        time.sleep(SETTLE_SECONDS)
        yield deployment


def stream(deployment, number):
    """Return the text of an answer, or the failure."""
    caller = Caller(url=deployment.url("attiki-a-1"), key=CALLER_KEY)
    request = {
        "model": MODEL,
        "prompt": f"pip {number}",
        "max_tokens": TOKENS,
    }
    try:
        return "".join(caller.stream("/v1/completions", request))
    except (RefusedError, StreamCutError) as error:
        return error


def send_burst(deployment, pool):
    return [
        pool.submit(stream, deployment, number) for number in range(REQUESTS)
    ]


def list_served(deployment, engine):
    return [
        record
        for record in deployment.read_records(engine)
        if record["event"] == "received"
    ]


def test_a_burst_is_shared_with_another_data_centre(deployment):
    operator = Operator(deployment=deployment)
    with futures.ThreadPoolExecutor(REQUESTS) as pool:
        answers = [f.result() for f in send_burst(deployment, pool)]
    assert not [a for a in answers if isinstance(a, Exception)]
    assert list_served(deployment, "kriti-a-engine-1")
    keys = [r["key"] for r in deployment.read_records() if "key" in r]
    assert len(set(keys)) == REQUESTS
    pairs = operator.get("attiki-a-1", "status")["peers"]["forwarded"]
    assert {(p["source"], p["destination"]) for p in pairs} == {
        ("attiki", "kriti"),
        ("kriti", "attiki"),
    }


def test_a_cut_between_data_centres_is_no_silent_end(deployment):
    with futures.ThreadPoolExecutor(REQUESTS) as pool:
        running = send_burst(deployment, pool)
        end = time.monotonic() + SETTLE_SECONDS
        while not list_served(deployment, "kriti-a-engine-1"):
            assert time.monotonic() < end
            time.sleep(0.02)
        deployment.set_link_faults("peer:*", cut=True)
        answers = [f.result() for f in running]
    whole = [a for a in answers if isinstance(a, str)]
    # What was cut ends in an error; the others have each token.
    assert len({len(answer.split()) for answer in whole}) == 1
    failed = [a for a in answers if isinstance(a, Exception)]
    assert len(whole) + len(failed) == REQUESTS
    for failure in failed:
        assert "peer_unavailable" in str(failure)
        assert "unknown" in str(failure)
    # The data centre goes on by itself.
    assert isinstance(stream(deployment, REQUESTS), str)
