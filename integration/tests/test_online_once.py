"""Non-idempotent requests run at most once, and resends get the answer."""

from concurrent.futures import ThreadPoolExecutor
import random
import threading
import time
import uuid

import pytest

from hollyspan_standins.caller import build_online_request_key
from hollyspan_standins.caller import exchange
from hollyspan_standins.checker import find_false_refusals
from hollyspan_standins.checker import find_repeat_runs
from hollyspan_standins.deployment import DataCentreLayout
from hollyspan_standins.deployment import open_deployment

MODEL = "pips-lm"
CHAT = "/v1/chat/completions"
ANNOUNCE = "/services/clock/announce"
STATUS = "/services/clock/status"
WORKSPACE = "dev"
TOKENS = 40
SETTLE_SECONDS = 2.0
LIFT_SECONDS = 1.2
SEEDS = (1, 2, 3)
# Answers that a copy may get when it is not the first.
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
        time.sleep(SETTLE_SECONDS)
        yield deployment


@pytest.fixture(autouse=True)
def lift_faults(deployment):
    yield
    deployment.set_link_faults("*", cut=False, freeze=False, drop_replies=0)
    deployment.control("store", outage=False, lose_replies=0, delay_seconds=0)
    for name in deployment.daemon_names:
        if deployment.find(name).child is None:
            deployment.start(name)
    time.sleep(LIFT_SECONDS)


class Order:
    """One non-idempotent request and what its copies got."""

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

    def check(self):
        """At most one run; whole answers alike; refusals true."""
        records = self.deployment.read_records()
        assert find_repeat_runs(records, keys=[self.request_key]) == []
        whole = {r.body for r in self.replies if r.is_complete}
        assert len(whole) <= 1
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
    order = Order(deployment, path=path, stream=stream)
    first = order.send(0)
    assert first.is_complete
    assert [order.send(n).body for n in (0, 1, 2)] == [first.body] * 3
    order.check()
    assert order.count_runs() == 1


@pytest.mark.parametrize("path", [CHAT, ANNOUNCE])
def test_copies_sent_at_once(deployment, path):
    orders = [Order(deployment, path=path) for _ in range(6)]
    with ThreadPoolExecutor(18) as pool:
        for order in orders:
            for daemon in range(3):
                pool.submit(order.send, daemon)
    for order in orders:
        order.check()
        assert sum(reply.is_complete for reply in order.replies) == 3
        assert order.count_runs() == 1


def test_key_with_another_body(deployment):
    order = Order(deployment)
    assert order.send(0).is_complete
    order.stream = False
    reply = order.send(1)
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
    """Before the first byte, between, or after the last one."""
    order = Order(deployment, path=path)
    delay = random.Random(seed).uniform(0.0, 0.9)
    sender = threading.Thread(target=order.send, args=(0,))
    sender.start()
    time.sleep(delay)
    deployment.kill(deployment.daemon_names[0])
    sender.join()
    for daemon in (1, 2, 1):
        order.send(daemon)
    order.check()


def test_stream_of_a_lost_daemon_is_resumed(deployment):
    order = Order(deployment)
    begun = threading.Event()
    sender = threading.Thread(
        target=order.send,
        args=(0,),
        kwargs={"on_data": lambda body: begun.set()},
    )
    sender.start()
    assert begun.wait(10)
    deployment.kill(deployment.daemon_names[0])
    sender.join()
    assert order.send(1).is_complete
    assert order.send(2).is_complete
    order.check()


def test_caller_that_leaves_can_have_the_answer_later(deployment):
    class Left(OSError):
        pass

    def leave(body):
        raise Left

    order = Order(deployment)
    assert order.send(0, on_data=leave).failure == "Left"
    assert order.send(1).is_complete
    order.check()
    assert order.count_runs() == 1


@pytest.mark.parametrize("path", [CHAT, ANNOUNCE])
def test_replies_of_the_store_are_lost(deployment, path):
    order = Order(deployment, path=path)
    deployment.control("store", lose_replies=2, lose_matching="once/")
    assert order.send(0).is_complete
    deployment.control("store", lose_replies=0)
    assert order.send(1).is_complete
    order.check()


def test_store_out_of_reach(deployment):
    """A copy that may have run through another daemon stays unknown."""
    order = Order(deployment)
    assert order.send(0).is_complete
    deployment.set_link_faults("store:*-2", cut=True)
    reply = order.send(1)
    assert (reply.status, reply.outcome) == (503, "unknown")
    assert reply.headers["Retry-After"]
    fresh = Order(deployment)
    assert fresh.send(1).outcome == "unknown"
    order.check()
    fresh.check()
    assert fresh.count_runs() == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_store_outage_while_it_runs(deployment, seed):
    order = Order(deployment)
    generator = random.Random(seed)
    with ThreadPoolExecutor(3) as pool:
        running = [pool.submit(order.send, 0)]
        time.sleep(generator.uniform(0.0, 0.5))
        deployment.control("store", outage=True)
        running.append(pool.submit(order.send, 1))
        time.sleep(generator.uniform(0.2, 1.5))
        deployment.control("store", outage=False)
        running.append(pool.submit(order.send, 2))
        for future in running:
            future.result()
    order.send(1)
    order.check()


@pytest.mark.parametrize("seed", SEEDS)
def test_holder_frozen_while_others_ask(deployment, seed):
    order = Order(deployment)
    holder = deployment.daemon_names[0]
    sender = threading.Thread(target=order.send, args=(0,))
    sender.start()
    time.sleep(random.Random(seed).uniform(0.0, 0.6))
    deployment.freeze(holder)
    try:
        time.sleep(3.0)
        order.send(1)
    finally:
        deployment.thaw(holder)
    sender.join()
    order.send(2)
    order.check()


@pytest.mark.parametrize("seed", SEEDS)
def test_daemon_killed_while_replies_are_lost(deployment, seed):
    order = Order(deployment)
    deployment.control("store", lose_replies=1, lose_matching="once/")
    sender = threading.Thread(target=order.send, args=(0,))
    sender.start()
    time.sleep(random.Random(seed).uniform(0.0, 0.6))
    deployment.kill(deployment.daemon_names[0])
    sender.join()
    order.send(1)
    order.send(2)
    order.check()


@pytest.mark.parametrize("path", [CHAT, ANNOUNCE])
def test_connection_lost_before_the_answer(deployment, path):
    """The upstream has run it; nobody runs it again."""
    order = Order(deployment, path=path)
    deployment.set_link_faults("upstream:*-1>*", drop_replies=1)
    order.send(0)
    deployment.set_link_faults("upstream:*-1>*", drop_replies=0)
    order.send(1)
    order.send(0)
    order.check()


def test_connection_lost_before_the_answer_to_a_get(deployment):
    """The HTTP client sends no request again by itself."""
    order = Order(deployment, path=STATUS, method="GET")
    deployment.set_link_faults("upstream:*-1>*clock", drop_replies=True)
    order.send(0)
    deployment.set_link_faults("upstream:*-1>*clock", drop_replies=0)
    order.send(1)
    order.check()
