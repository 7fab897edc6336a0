"""A "not run" refusal is true at each stage of a request."""

from concurrent.futures import ThreadPoolExecutor
import time
import uuid

import pytest

from hollyspan_standins.caller import build_online_request_key
from hollyspan_standins.caller import exchange
from hollyspan_standins.checker import find_false_refusals
from hollyspan_standins.deployment import build_configuration
from hollyspan_standins.deployment import DataCentreLayout
from hollyspan_standins.deployment import open_deployment

MODEL = "pips-lm"
CHAT = "/v1/chat/completions"
COMPLETIONS = "/v1/completions"
ANNOUNCE = "/services/clock/announce"
KEYS = {"dev-key": "dev", "small-key": "small"}
SETTLE_TIME_S = 2.0
RECOVERY_TIME_S = 1.5


@pytest.fixture(scope="module")
def deployment():
    configuration = build_configuration(
        model=MODEL, services=["clock"], slots=4, keys=KEYS
    )
    configuration["exceptions"] = [
        {
            "id": "small",
            "scope": {"workspace": "small"},
            "set": {"workspace.requests_per_second": 0.1},
            "reason": "test of refusals",
        }
    ]
    layouts = [
        DataCentreLayout(
            data_centre="attiki-a",
            region="attiki",
            services=("clock",),
            daemons=2,
        )
    ]
    with open_deployment(
        layouts=layouts,
        slots=4,
        configuration=configuration,
        proxied=["store"],
    ) as deployment:
        time.sleep(SETTLE_TIME_S)
        yield deployment


@pytest.fixture(autouse=True)
def clear_faults(deployment):
    yield
    deployment.set_link_faults("store:*", cut=False)
    time.sleep(RECOVERY_TIME_S)


def build_document(**changes):
    return {
        "model": MODEL,
        "messages": [{"role": "user", "content": "drift"}],
        "max_tokens": 8,
        **changes,
    }


def send_request(deployment, *, daemon=0, path=CHAT, headers=None, **options):
    return exchange(
        deployment.url(deployment.daemon_names[daemon]),
        path,
        headers=headers,
        **options,
    )


def build_headers(key):
    return {"idempotency-key": key, "x-request-idempotent": "false"}


REFUSALS = {
    "wrong key": (401, {"key": "wrong", "document": build_document()}),
    "unknown model": (404, {"document": build_document(model="none")}),
    "bad JSON": (400, {"body": b"{"}),
    "deep JSON": (400, {"body": b"[" * 100_000}),
    "no object": (400, {"body": b"[]"}),
    "no messages": (400, {"document": {"model": MODEL}}),
    "no prompt": (400, {"path": COMPLETIONS, "document": {"model": MODEL}}),
    "faulty stream": (400, {"document": build_document(stream="yes")}),
    "wrong method": (400, {"method": "PUT", "document": build_document()}),
    "large body": (413, {"body": b" " * 8_000_001}),
    "faulty deadline": (
        400,
        {"document": build_document(), "headers": {"x-deadline-ms": "soon"}},
    ),
    "unknown service": (404, {"path": "/services/none/x", "body": b""}),
}


@pytest.mark.parametrize("name", REFUSALS)
def test_refusals_without_a_key(deployment, name):
    status, options = REFUSALS[name]
    before = len(deployment.read_records())
    reply = send_request(deployment, **options)
    assert reply.status == status
    assert reply.outcome == "not_run"
    assert len(deployment.read_records()) == before


@pytest.mark.parametrize("name", REFUSALS)
def test_refusals_of_a_key_that_ran(deployment, name):
    """A faulty copy of a request that ran is refused with outcome unknown."""
    key = uuid.uuid4().hex
    first = send_request(
        deployment, document=build_document(), headers=build_headers(key)
    )
    assert first.is_complete
    status, options = REFUSALS[name]
    headers = {**build_headers(key), **options.get("headers", {})}
    reply = send_request(
        deployment, daemon=1, **{**options, "headers": headers}
    )
    assert reply.status == status
    assert reply.outcome == "unknown"


def test_limits(deployment):
    document = build_document()
    assert send_request(
        deployment, key="small-key", document=document
    ).is_complete
    reply = send_request(deployment, key="small-key", document=document)
    assert (reply.status, reply.outcome) == (429, "not_run")
    assert int(reply.headers["Retry-After"]) >= 1
    headers = build_headers("limited")
    keyed = send_request(
        deployment, key="small-key", document=document, headers=headers
    )
    assert (keyed.status, keyed.outcome) == (429, "unknown")


@pytest.mark.parametrize("keyed", [False, True])
def test_no_capacity_within_the_deadline(deployment, keyed):
    """Some of many requests with a short deadline are refused immediately."""
    keys = [uuid.uuid4().hex for _ in range(60)]

    def send(key):
        headers = {"x-deadline-ms": "400"}
        if keyed:
            headers.update(build_headers(key))
        started = time.monotonic()
        reply = send_request(
            deployment,
            document=build_document(max_tokens=30),
            headers=headers,
        )
        return key, reply, time.monotonic() - started

    with ThreadPoolExecutor(len(keys)) as pool:
        answers = list(pool.map(send, keys))
    refused = [a for a in answers if a[1].status == 503]
    assert refused
    for key, reply, seconds in refused:
        assert int(reply.headers["Retry-After"]) >= 1
        assert reply.outcome == ("unknown" if keyed else "not_run")
    check_refusals(deployment, [(key, reply) for key, reply, _ in answers])


def check_refusals(deployment, answers):
    refusals = [
        (build_online_request_key("dev", key), reply.ended_at)
        for key, reply in answers
        if reply.outcome == "not_run"
    ]
    records = deployment.read_records()
    assert find_false_refusals(refusals, records) == []


@pytest.mark.parametrize("path", [CHAT, ANNOUNCE])
def test_upstream_that_refuses_connections(deployment, path):
    """Nothing has run, so the key can be used again."""
    kind = "engine" if path == CHAT else "service"
    (upstream,) = deployment.list_upstreams(kind=kind)
    key = uuid.uuid4().hex

    def send(daemon):
        return send_request(
            deployment,
            daemon=daemon,
            path=path,
            document=build_document(),
            headers=build_headers(key),
        )

    deployment.kill(upstream)
    refused = send(0)
    deployment.start(upstream)
    time.sleep(RECOVERY_TIME_S)
    retried = send(1)
    # The outcome is unknown if a poll finds the upstream missing before the
    # store is read.
    assert refused.status == 503
    assert refused.outcome in ("not_run", "unknown")
    assert retried.is_complete
    check_refusals(deployment, [(key, refused), (key, retried)])


def test_store_unreachable(deployment):
    deployment.set_link_faults("store:*", cut=True)
    key = uuid.uuid4().hex
    document = build_document()
    reply = send_request(
        deployment, document=document, headers=build_headers(key)
    )
    assert (reply.status, reply.outcome) == (503, "unknown")
    plain = send_request(deployment, document=document)
    assert plain.is_complete
    check_refusals(deployment, [(key, reply)])


def test_leaving_engine(deployment):
    """Runs last: an engine that was leaving is not used again for a while."""
    (engine,) = deployment.list_upstreams()
    deployment.control(engine, leaving=True)
    replies = []
    for keyed in (True, False):
        key = uuid.uuid4().hex
        reply = send_request(
            deployment,
            document=build_document(),
            headers=build_headers(key) if keyed else {},
        )
        assert reply.status == 503
        replies.append((key, reply))
    assert replies[1][1].outcome == "not_run"
    check_refusals(deployment, replies)
