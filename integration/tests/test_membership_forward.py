"""Requests beyond the local data centre's capacity run in another one."""

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
SETTLE_TIME_S = 3.0


@pytest.fixture(name="deployment")
def start_deployment():
    """Start two data centres with few slots and proxied peer links."""
    layouts = build_layouts("attiki", "kriti", services=())
    with open_deployment(
        layouts=layouts, slots=SLOTS, proxied=["peers"]
    ) as deployment:
        time.sleep(SETTLE_TIME_S)
        yield deployment


def stream(deployment, number):
    """Return the text of a streamed answer, or the exception."""
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


def list_received(deployment, engine):
    return [
        record
        for record in deployment.read_records(engine)
        if record["event"] == "received"
    ]


def test_burst_is_shared_with_another_data_centre(deployment):
    operator = Operator(deployment=deployment)
    with futures.ThreadPoolExecutor(REQUESTS) as pool:
        answers = [f.result() for f in send_burst(deployment, pool)]
    assert not [a for a in answers if isinstance(a, Exception)]
    assert list_received(deployment, "kriti-a-engine-1")
    keys = [r["key"] for r in deployment.read_records() if "key" in r]
    assert len(set(keys)) == REQUESTS
    pairs = operator.get("attiki-a-1", "status")["peers"]["forwarded"]
    assert {(p["source"], p["destination"]) for p in pairs} == {
        ("attiki", "kriti"),
        ("kriti", "attiki"),
    }


def test_cut_between_data_centres_ends_streams_with_an_error(deployment):
    with futures.ThreadPoolExecutor(REQUESTS) as pool:
        pending = send_burst(deployment, pool)
        deadline = time.monotonic() + SETTLE_TIME_S
        while not list_received(deployment, "kriti-a-engine-1"):
            assert time.monotonic() < deadline
            time.sleep(0.02)
        deployment.set_link_faults("peer:*", cut=True)
        answers = [f.result() for f in pending]
    complete = [a for a in answers if isinstance(a, str)]
    # Cut streams end in an error; all others have all their tokens.
    assert len({len(answer.split()) for answer in complete}) == 1
    failed = [a for a in answers if isinstance(a, Exception)]
    assert len(complete) + len(failed) == REQUESTS
    for failure in failed:
        assert "peer_unavailable" in str(failure)
        assert "unknown" in str(failure)
    # The data centre continues to serve without the other one.
    assert isinstance(stream(deployment, REQUESTS), str)
