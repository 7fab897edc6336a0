"""Non-idempotent requests run at most once; resends get the same answer."""

from concurrent.futures import ThreadPoolExecutor
import random
import threading
import time
import uuid

import pytest

from hollyspan_standins.caller import build_online_request_key
from hollyspan_standins.caller import exchange
from hollyspan_standins.checker import find_false_refusals
from hollyspan_standins.checker import find_repeated_runs
from hollyspan_standins.deployment import DataCentreLayout
from hollyspan_standins.deployment import open_deployment

MODEL = "pips-lm"
CHAT = "/v1/chat/completions"
ANNOUNCE = "/services/clock/announce"
STATUS = "/services/clock/status"
WORKSPACE = "dev"
TOKENS = 40
SETTLE_TIME_S = 2.0
RECOVERY_TIME_S = 1.2
SEEDS = (1, 2, 3)
# Error codes that a copy other than the first may get.
UNKNOWN_CODES = {
    "deadline_exceeded",
    "outcome_unknown",
    "overloaded",
    "store_reply_lost",
    "store_unavailable",
    "stream_lost",
    "upstream_unavailable",
}


@pytest.fixture(scope="module")
def deployment():
    layouts = [
        DataCentreLayout(
            data_centre="attiki-a",
            region="attiki",
            engines=2,
            services=("clock",),
            daemons=3,
        )
    ]
    with open_deployment(
        layouts=layouts,
        proxied=["upstreams", "store"],
        engine_options=["--speed", "0.5"],
        service_options=["--delay", "0.3"],
    ) as deployment:
        time.sleep(SETTLE_TIME_S)
        yield deployment


@pytest.fixture(autouse=True)
def clear_faults(deployment):
    yield
    deployment.set_link_faults("*", cut=False, freeze=False, drop_replies=0)
    deployment.control("store", outage=False, lose_replies=0, delay_seconds=0)
    for name in deployment.daemon_names:
        if deployment.find(name).child is None:
            deployment.start(name)
    time.sleep(RECOVERY_TIME_S)


class NonIdempotentRequest:
    """One non-idempotent request and the replies to its copies."""

    def __init__(self, deployment, *, path=CHAT, stream=True, method="POST"):
        self.deployment = deployment
        self.path = path
        self.stream = stream
        self.method = method
        self.key = uuid.uuid4().hex
        self.replies = []

    def send(self, daemon, **options):
        """Send a copy through a daemon."""
        reply = exchange(
            self.deployment.url(self.deployment.daemon_names[daemon]),
            self.path,
            document=self.build_document(),
            method=self.method,
            headers={
                "idempotency-key": self.key,
                "x-request-idempotent": "false",
                "x-deadline-ms": "12000",
            },
            **options,
        )
        self.replies.append(reply)
        return reply

    def build_document(self):
        if self.method == "GET":
            return None
        if self.path != CHAT:
            return {"order": self.key}
        return {
            "model": MODEL,
            "messages": [{"role": "user", "content": f"order {self.key}"}],
            "max_tokens": TOKENS,
            "stream": self.stream,
        }

    @property
    def request_key(self):
        return build_online_request_key(WORKSPACE, self.key)

    def count_runs(self):
        return sum(
            record["event"] == "received"
            for record in self.deployment.read_records()
            if record.get("key") == self.request_key
        )

    def check_replies(self):
        """Check for at most one run, equal answers and true refusals."""
        records = self.deployment.read_records()
        assert find_repeated_runs(records, keys=[self.request_key]) == []
        complete = {r.body for r in self.replies if r.is_complete}
        assert len(complete) <= 1
        refused = [r for r in self.replies if not r.is_complete and r.error]
        for reply in refused:
            assert reply.error["code"] in UNKNOWN_CODES, reply.error
        refusals = [
            (self.request_key, reply.ended_at)
            for reply in refused
            if reply.outcome == "not_run"
        ]
        assert find_false_refusals(refusals, records) == []


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize("path", [CHAT, ANNOUNCE])
def test_resend_gets_the_same_bytes(deployment, path, stream):
    request = NonIdempotentRequest(deployment, path=path, stream=stream)
    first = request.send(0)
    assert first.is_complete
    assert [request.send(n).body for n in (0, 1, 2)] == [first.body] * 3
    request.check_replies()
    assert request.count_runs() == 1


@pytest.mark.parametrize("path", [CHAT, ANNOUNCE])
def test_copies_sent_at_once(deployment, path):
    requests = [NonIdempotentRequest(deployment, path=path) for _ in range(6)]
    with ThreadPoolExecutor(18) as pool:
        for request in requests:
            for daemon in range(3):
                pool.submit(request.send, daemon)
    for request in requests:
        request.check_replies()
        assert sum(reply.is_complete for reply in request.replies) == 3
        assert request.count_runs() == 1


def test_key_with_another_body(deployment):
    request = NonIdempotentRequest(deployment)
    assert request.send(0).is_complete
    request.stream = False
    reply = request.send(1)
    assert reply.status == 422
    assert reply.outcome == "unknown"


def test_request_without_a_key(deployment):
    reply = exchange(
        deployment.url(deployment.daemon_names[0]), ANNOUNCE, document={}
    )
    assert reply.status == 400
    assert reply.error["code"] == "idempotency_key_missing"
    assert reply.outcome == "not_run"


@pytest.mark.parametrize("path", [CHAT, ANNOUNCE])
@pytest.mark.parametrize("seed", SEEDS)
def test_daemon_killed_while_it_runs(deployment, path, seed):
    """The daemon is killed before, during or after the answer."""
    request = NonIdempotentRequest(deployment, path=path)
    delay = random.Random(seed).uniform(0.0, 0.9)
    sender = threading.Thread(target=request.send, args=(0,))
    sender.start()
    time.sleep(delay)
    deployment.kill(deployment.daemon_names[0])
    sender.join()
    for daemon in (1, 2, 1):
        request.send(daemon)
    request.check_replies()


def test_stream_of_a_lost_daemon_is_resumed(deployment):
    request = NonIdempotentRequest(deployment)
    has_begun = threading.Event()
    sender = threading.Thread(
        target=request.send,
        args=(0,),
        kwargs={"on_data": lambda body: has_begun.set()},
    )
    sender.start()
    assert has_begun.wait(10)
    deployment.kill(deployment.daemon_names[0])
    sender.join()
    assert request.send(1).is_complete
    assert request.send(2).is_complete
    request.check_replies()


def test_disconnected_caller_can_fetch_the_answer_later(deployment):
    class Left(OSError):
        pass

    def leave(body):
        raise Left

    request = NonIdempotentRequest(deployment)
    assert request.send(0, on_data=leave).failure == "Left"
    assert request.send(1).is_complete
    request.check_replies()
    assert request.count_runs() == 1


@pytest.mark.parametrize("path", [CHAT, ANNOUNCE])
def test_replies_of_the_store_are_lost(deployment, path):
    request = NonIdempotentRequest(deployment, path=path)
    deployment.control("store", lose_replies=2, lose_matching="once/")
    assert request.send(0).is_complete
    deployment.control("store", lose_replies=0)
    assert request.send(1).is_complete
    request.check_replies()


def test_store_unreachable(deployment):
    """A copy that may have run through another daemon has outcome unknown."""
    request = NonIdempotentRequest(deployment)
    assert request.send(0).is_complete
    deployment.set_link_faults("store:*-2", cut=True)
    reply = request.send(1)
    assert (reply.status, reply.outcome) == (503, "unknown")
    assert reply.headers["Retry-After"]
    fresh = NonIdempotentRequest(deployment)
    assert fresh.send(1).outcome == "unknown"
    request.check_replies()
    fresh.check_replies()
    assert fresh.count_runs() == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_store_outage_while_it_runs(deployment, seed):
    request = NonIdempotentRequest(deployment)
    generator = random.Random(seed)
    with ThreadPoolExecutor(3) as pool:
        running = [pool.submit(request.send, 0)]
        time.sleep(generator.uniform(0.0, 0.5))
        deployment.control("store", outage=True)
        running.append(pool.submit(request.send, 1))
        time.sleep(generator.uniform(0.2, 1.5))
        deployment.control("store", outage=False)
        running.append(pool.submit(request.send, 2))
        for future in running:
            future.result()
    request.send(1)
    request.check_replies()


@pytest.mark.parametrize("seed", SEEDS)
def test_holder_frozen_while_others_ask(deployment, seed):
    request = NonIdempotentRequest(deployment)
    holder = deployment.daemon_names[0]
    sender = threading.Thread(target=request.send, args=(0,))
    sender.start()
    time.sleep(random.Random(seed).uniform(0.0, 0.6))
    deployment.freeze(holder)
    try:
        time.sleep(3.0)
        request.send(1)
    finally:
        deployment.thaw(holder)
    sender.join()
    request.send(2)
    request.check_replies()


@pytest.mark.parametrize("seed", SEEDS)
def test_daemon_killed_while_replies_are_lost(deployment, seed):
    request = NonIdempotentRequest(deployment)
    deployment.control("store", lose_replies=1, lose_matching="once/")
    sender = threading.Thread(target=request.send, args=(0,))
    sender.start()
    time.sleep(random.Random(seed).uniform(0.0, 0.6))
    deployment.kill(deployment.daemon_names[0])
    sender.join()
    request.send(1)
    request.send(2)
    request.check_replies()


@pytest.mark.parametrize("path", [CHAT, ANNOUNCE])
def test_connection_lost_before_the_answer(deployment, path):
    """A request whose answer is lost after the upstream ran it isn't rerun."""
    request = NonIdempotentRequest(deployment, path=path)
    deployment.set_link_faults("upstream:*-1>*", drop_replies=1)
    request.send(0)
    deployment.set_link_faults("upstream:*-1>*", drop_replies=0)
    request.send(1)
    request.send(0)
    request.check_replies()


def test_connection_lost_before_the_answer_to_a_get(deployment):
    """The HTTP client doesn't retry requests on its own."""
    request = NonIdempotentRequest(deployment, path=STATUS, method="GET")
    deployment.set_link_faults("upstream:*-1>*clock", drop_replies=True)
    request.send(0)
    deployment.set_link_faults("upstream:*-1>*clock", drop_replies=0)
    request.send(1)
    request.check_replies()
