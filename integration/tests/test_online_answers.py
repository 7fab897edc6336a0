"""Whole answers, each to its own caller, under faults of the connections."""

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
from hollyspan_standins.engine import expected_text

MODEL = "pips-lm"
CHAT = "/v1/chat/completions"
CALLERS = 12
TOKENS = 100
SETTLE_SECONDS = 2.0
LIFT_SECONDS = 1.0
# Longest wait until all streams of a test have begun, and the time for their
# first events to reach the daemon.
BEGIN_SECONDS = 20.0
EVENT_SECONDS = 0.3
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
        time.sleep(SETTLE_SECONDS)
        yield deployment


@pytest.fixture(autouse=True)
def lift_faults(deployment):
    yield
    deployment.set_link_faults(
        "upstream:*", cut=False, freeze=False, delay_seconds=0, drop_replies=0
    )
    time.sleep(LIFT_SECONDS)


def build_document(prompt, *, stream, tokens=TOKENS):
    return {
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": stream,
    }


def ask(deployment, prompt, *, stream=True, **options):
    return exchange(
        deployment.url(deployment.daemon_names[0]),
        CHAT,
        document=build_document(prompt, stream=stream),
        **options,
    )


def ask_all(deployment, seed, disturb, **options):
    """Ask for many answers while something disturbs them."""
    prompts = [f"caller {seed}/{number}" for number in range(CALLERS)]
    with ThreadPoolExecutor(CALLERS) as pool:
        running = [
            pool.submit(
                ask, deployment, prompt, stream=number % 3 > 0, **options
            )
            for number, prompt in enumerate(prompts)
        ]
        disturb()
        replies = [future.result() for future in running]
    return list(zip(prompts, replies))


def check(asked, *, least_whole):
    """Each answer is whole and the caller's own, or ends in an error."""
    for prompt, reply in asked:
        if not reply.is_complete:
            assert reply.error is not None, (prompt, reply.body[-200:])
            continue
        if reply.is_streamed:
            assert len({chunk["id"] for chunk in reply.chunks}) == 1, prompt
    whole = [(p, r) for p, r in asked if r.is_complete]
    assert len(whole) >= least_whole, [r.error for _, r in asked]
    violations = find_wrong_answers(
        (prompt, reply.text, expect(prompt)) for prompt, reply in whole
    )
    assert violations == []


def expect(prompt):
    return expected_text(
        model=MODEL, prompt=f"user:{prompt}", max_tokens=TOKENS
    )


def wait_begun(deployment):
    """Wait until the engines have made the first token of each answer."""
    # Nothing of the test before runs any more; see `lift_faults`.
    since = time.time() - LIFT_SECONDS / 2
    limit = time.monotonic() + BEGIN_SECONDS
    while time.monotonic() < limit:
        begun = sum(
            record["event"] == "first_token" and record["time"] >= since
            for record in deployment.read_records()
        )
        if begun >= CALLERS:
            time.sleep(EVENT_SECONDS)
            return
        time.sleep(0.02)
    pytest.fail(f"{begun} of {CALLERS} streams begun")


def cut_at_times(deployment, seed, *, times=4, has_begun=True):
    """Cut the links to random engines for a moment, some times."""
    if has_begun:
        wait_begun(deployment)
    generator = random.Random(seed)
    links = sorted(
        name for name in deployment.fetch_links() if "engine" in name
    )
    for _ in range(times):
        time.sleep(generator.uniform(0.05, 0.25))
        link = generator.choice(links)
        deployment.set_link_faults(link, cut=True)
        deployment.set_link_faults(link, cut=False)


@pytest.mark.parametrize("seed", SEEDS)
def test_connections_cut_in_mid_stream(deployment, seed):
    asked = ask_all(deployment, seed, lambda: cut_at_times(deployment, seed))
    check(asked, least_whole=CALLERS)


@pytest.mark.parametrize("seed", SEEDS)
def test_connections_cut_and_delayed(deployment, seed):
    def disturb():
        deployment.set_link_faults("upstream:*engine-1", delay_seconds=0.15)
        cut_at_times(deployment, seed)

    asked = ask_all(deployment, 10 + seed, disturb)
    check(asked, least_whole=CALLERS)


@pytest.mark.parametrize("seed", SEEDS)
def test_connections_cut_with_slow_readers(deployment, seed):
    asked = ask_all(
        deployment,
        20 + seed,
        lambda: cut_at_times(deployment, seed),
        read_pause_seconds=0.05,
    )
    check(asked, least_whole=CALLERS)


@pytest.mark.parametrize("seed", SEEDS)
def test_connections_cut_while_streams_begin(deployment, seed):
    """The retry budget bounds how many of them are run elsewhere."""

    def disturb():
        cut_at_times(deployment, seed, has_begun=False)

    asked = ask_all(deployment, 60 + seed, disturb)
    check(asked, least_whole=CALLERS // 2)


def test_replies_dropped_at_the_start(deployment):
    def disturb():
        deployment.set_link_faults("upstream:*engine*", drop_replies=3)

    disturb()
    asked = ask_all(deployment, 30, lambda: None)
    check(asked, least_whole=CALLERS - 2)


def test_frozen_connections_are_resumed(deployment):
    def disturb():
        time.sleep(0.2)
        deployment.set_link_faults("upstream:*engine-1", freeze=True)
        time.sleep(6.0)
        deployment.set_link_faults("upstream:*engine-1", freeze=False)

    check(ask_all(deployment, 40, disturb), least_whole=CALLERS)


def test_engine_lost_in_mid_stream(deployment):
    """A run that is lost is never continued by another run."""
    engine = deployment.list_upstreams()[0]

    def disturb():
        time.sleep(0.3)
        deployment.kill(engine)

    try:
        asked = ask_all(deployment, 50, disturb)
    finally:
        deployment.start(engine)
    check(asked, least_whole=1)


def test_broken_stream_ends_in_an_error(deployment):
    reply = ask(deployment, "[[break]] now")
    assert reply.error["code"] == "stream_lost"
    assert reply.outcome == "unknown"
    assert not reply.is_complete
    plain = ask(deployment, "[[break]] now", stream=False)
    assert plain.status == 502


def test_caller_that_leaves_frees_the_slot(deployment):
    class Left(OSError):
        pass

    def leave(body):
        raise Left

    reply = ask(deployment, "leaving caller", on_data=leave)
    assert reply.failure == "Left"
    # The load report lags, so it alone may be of the time before the request.
    limit = time.monotonic() + 5.0
    while time.monotonic() < limit:
        last = find_last_event(deployment)
        if last == "cancelled" and not count_running(deployment):
            break
        time.sleep(0.05)
    assert last == "cancelled"
    assert count_running(deployment) == 0


def find_last_event(deployment):
    """Return the engines' last event but those of connections."""
    return [
        record["event"]
        for record in deployment.read_records()
        if record.get("key") and record["event"] != "disconnected"
    ][-1]


def count_running(deployment):
    names = deployment.list_upstreams()
    loads = [fetch_json(f"{deployment.url(n)}/v1/load") for n in names]
    return sum(load["running"] + load["waiting"] for load in loads)


def test_pipelined_bytes_do_not_mix_answers(deployment):
    """Two requests on one connection get their answers in order."""
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
