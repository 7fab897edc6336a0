"""Complete answers, each to its own caller, under connection faults."""

from concurrent.futures import ThreadPoolExecutor
import random
import socket
import time

import pytest

from hollyspan_standins.caller import exchange
from hollyspan_standins.checker import find_wrong_answers
from hollyspan_standins.deployment import DataCentreLayout
from hollyspan_standins.deployment import fetch_json
from hollyspan_standins.deployment import open_deployment
from hollyspan_standins.engine import generate_expected_text

MODEL = "pips-lm"
CHAT = "/v1/chat/completions"
CALLERS = 12
TOKENS = 100
SETTLE_TIME_S = 2.0
RECOVERY_TIME_S = 1.0
# Timeout for all streams of a test to start, and the time for their first
# events to reach the daemon.
FIRST_TOKEN_TIMEOUT_S = 20.0
EVENT_DELIVERY_S = 0.3
SEEDS = (1, 2, 3)


@pytest.fixture(scope="module")
def deployment():
    layouts = [
        DataCentreLayout(data_centre="attiki-a", region="attiki", engines=2)
    ]
    with open_deployment(
        layouts=layouts,
        proxied=["upstreams"],
        engine_options=["--speed", "0.5"],
    ) as deployment:
        time.sleep(SETTLE_TIME_S)
        yield deployment


@pytest.fixture(autouse=True)
def clear_faults(deployment):
    yield
    deployment.set_link_faults(
        "upstream:*", cut=False, freeze=False, delay_seconds=0, drop_replies=0
    )
    time.sleep(RECOVERY_TIME_S)


def build_document(prompt, *, stream, tokens=TOKENS):
    return {
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": stream,
    }


def send_request(deployment, prompt, *, stream=True, **options):
    return exchange(
        deployment.url(deployment.daemon_names[0]),
        CHAT,
        document=build_document(prompt, stream=stream),
        **options,
    )


def send_requests(deployment, seed, inject_fault, **options):
    """Send requests in parallel, inject a fault, and return the exchanges.

    Parameters
    ----------
    deployment : Deployment
    seed : int
    inject_fault : callable
        Called with the Unix time before the first request.
    **options
        For `send_request`.
    """
    prompts = [f"caller {seed}/{number}" for number in range(CALLERS)]
    since = time.time()
    with ThreadPoolExecutor(CALLERS) as pool:
        running = [
            pool.submit(
                send_request,
                deployment,
                prompt,
                stream=number % 3 > 0,
                **options,
            )
            for number, prompt in enumerate(prompts)
        ]
        inject_fault(since)
        replies = [future.result() for future in running]
    return list(zip(prompts, replies))


def check_replies(exchanges, *, min_complete):
    """Check that each answer is complete and correct, or ends in an error."""
    for prompt, reply in exchanges:
        if not reply.is_complete:
            assert reply.error is not None, (prompt, reply.body[-200:])
            continue
        if reply.is_streamed:
            assert len({chunk["id"] for chunk in reply.chunks}) == 1, prompt
    complete = [(p, r) for p, r in exchanges if r.is_complete]
    assert len(complete) >= min_complete, [r.error for _, r in exchanges]
    violations = find_wrong_answers(
        (prompt, reply.text, build_expected_answer(prompt))
        for prompt, reply in complete
    )
    assert violations == []


def build_expected_answer(prompt):
    return generate_expected_text(
        model=MODEL, prompt=f"user:{prompt}", max_tokens=TOKENS
    )


def wait_for_first_tokens(deployment, since):
    """Wait until the engines have generated each answer's first token.

    No stream of the previous test is running any more; see `clear_faults`.
    """
    deadline = time.monotonic() + FIRST_TOKEN_TIMEOUT_S
    while time.monotonic() < deadline:
        started = sum(
            record["event"] == "first_token" and record["time"] >= since
            for record in deployment.read_records()
        )
        if started >= CALLERS:
            time.sleep(EVENT_DELIVERY_S)
            return
        time.sleep(0.02)
    pytest.fail(f"{started} of {CALLERS} streams started")


def cut_links_repeatedly(deployment, seed, *, count=4, since=None):
    """Briefly cut the links to random engines, `count` times.

    Parameters
    ----------
    deployment : Deployment
    seed : int
    count : int, optional
    since : float, optional
        Time before the requests, to wait for their first tokens.
    """
    if since is not None:
        wait_for_first_tokens(deployment, since)
    generator = random.Random(seed)
    links = sorted(
        name for name in deployment.fetch_links() if "engine" in name
    )
    for _ in range(count):
        time.sleep(generator.uniform(0.05, 0.25))
        link = generator.choice(links)
        deployment.set_link_faults(link, cut=True)
        deployment.set_link_faults(link, cut=False)


@pytest.mark.parametrize("seed", SEEDS)
def test_connections_cut_in_mid_stream(deployment, seed):
    exchanges = send_requests(
        deployment,
        seed,
        lambda since: cut_links_repeatedly(deployment, seed, since=since),
    )
    check_replies(exchanges, min_complete=CALLERS)


@pytest.mark.parametrize("seed", SEEDS)
def test_connections_cut_and_delayed(deployment, seed):
    def inject_fault(since):
        deployment.set_link_faults("upstream:*engine-1", delay_seconds=0.15)
        cut_links_repeatedly(deployment, seed, since=since)

    exchanges = send_requests(deployment, 10 + seed, inject_fault)
    check_replies(exchanges, min_complete=CALLERS)


@pytest.mark.parametrize("seed", SEEDS)
def test_connections_cut_with_slow_readers(deployment, seed):
    exchanges = send_requests(
        deployment,
        20 + seed,
        lambda since: cut_links_repeatedly(deployment, seed, since=since),
        read_pause_seconds=0.05,
    )
    check_replies(exchanges, min_complete=CALLERS)


@pytest.mark.parametrize("seed", SEEDS)
def test_connections_cut_while_streams_begin(deployment, seed):
    """The retry budget limits how many requests run on another engine."""

    def inject_fault(since):
        cut_links_repeatedly(deployment, seed)

    exchanges = send_requests(deployment, 60 + seed, inject_fault)
    check_replies(exchanges, min_complete=CALLERS // 2)


def test_replies_dropped_at_the_start(deployment):
    deployment.set_link_faults("upstream:*engine*", drop_replies=3)
    exchanges = send_requests(deployment, 30, lambda since: None)
    check_replies(exchanges, min_complete=CALLERS - 2)


def test_frozen_connections_are_resumed(deployment):
    def inject_fault(since):
        time.sleep(0.2)
        deployment.set_link_faults("upstream:*engine-1", freeze=True)
        time.sleep(6.0)
        deployment.set_link_faults("upstream:*engine-1", freeze=False)

    check_replies(
        send_requests(deployment, 40, inject_fault), min_complete=CALLERS
    )


def test_engine_lost_in_mid_stream(deployment):
    """A lost run is not continued by another run."""
    engine = deployment.list_upstreams()[0]

    def inject_fault(since):
        time.sleep(0.3)
        deployment.kill(engine)

    try:
        exchanges = send_requests(deployment, 50, inject_fault)
    finally:
        deployment.start(engine)
    check_replies(exchanges, min_complete=1)


def test_broken_stream_ends_in_an_error(deployment):
    reply = send_request(deployment, "[[break]] now")
    assert reply.error["code"] == "stream_lost"
    assert reply.outcome == "unknown"
    assert not reply.is_complete
    plain = send_request(deployment, "[[break]] now", stream=False)
    assert plain.status == 502


def test_disconnected_caller_frees_the_slot(deployment):
    class Left(OSError):
        pass

    def leave(body):
        raise Left

    reply = send_request(deployment, "leaving caller", on_data=leave)
    assert reply.failure == "Left"
    # Load reports lag: one alone may date from before the request.
    deadline = time.monotonic() + 5.0
    while time.monotonic() < deadline:
        last = find_last_event(deployment)
        if last == "cancelled" and not count_running(deployment):
            break
        time.sleep(0.05)
    assert last == "cancelled"
    assert count_running(deployment) == 0


def find_last_event(deployment):
    """Return the engines' last event of a request, without disconnects."""
    return [
        record["event"]
        for record in deployment.read_records()
        if record.get("key") and record["event"] != "disconnected"
    ][-1]


def count_running(deployment):
    names = deployment.list_upstreams()
    loads = [fetch_json(f"{deployment.url(n)}/v1/load") for n in names]
    return sum(load["running"] + load["waiting"] for load in loads)


def test_pipelined_requests_are_answered_in_order(deployment):
    """Two pipelined requests on one connection are answered in order."""
    url = deployment.url(deployment.daemon_names[0])
    host, port = url.removeprefix("http://").split(":")
    request = (
        "GET /v1/models HTTP/1.1\r\nHost: h\r\n"
        "Authorization: Bearer dev-key\r\n\r\n"
        "GET /v1/models/none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        "Authorization: Bearer dev-key\r\n\r\n"
    )
    with socket.create_connection((host, int(port)), timeout=10) as stream:
        stream.sendall(request.encode())
        content = b""
        while data := stream.recv(65536):
            content += data
    first, _, second = content.partition(b"HTTP/1.1 404")
    assert b'"object": "list"' in first
    assert b"model_not_found" in second
