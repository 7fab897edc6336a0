"""A planned stop cuts off no request."""

import http.client
import signal
import threading
import time

import pytest

from hollyspan_standins.caller import build_items
from hollyspan_standins.caller import Caller
from hollyspan_standins.caller import fetch_results
from hollyspan_standins.caller import Operator
from hollyspan_standins.caller import RefusedError
from hollyspan_standins.caller import StreamCutError
from hollyspan_standins.caller import submit_batch
from hollyspan_standins.caller import wait_batch
from hollyspan_standins.checker import find_duplicate_results
from hollyspan_standins.deployment import build_layouts
from hollyspan_standins.deployment import CALLER_KEY
from hollyspan_standins.deployment import CallError
from hollyspan_standins.deployment import fetch_json
from hollyspan_standins.deployment import open_deployment

MODEL = "pips-lm"
TOKENS = 40
STREAMS = 6
ITEMS = 200
JOB_SECONDS = 60.0
NOTICE_SECONDS = 1.5
# The balancer asks for readiness at this interval.
BALANCER_SECONDS = 0.5
TIMING = {"drain_notice": NOTICE_SECONDS}


class Balancer:
    """Chooses a daemon that was ready at the last look."""

    def __init__(self, *, deployment):
        self.deployment = deployment
        self.ready = list(deployment.daemon_names)
        self.turn = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def run(self):
        """Look at the readiness of all daemons until stopped."""
        while not self.stopped.wait(BALANCER_SECONDS):
            self.ready = [
                name
                for name in self.deployment.daemon_names
                if self.is_ready(name)
            ]

    def is_ready(self, name):
        """Return whether a daemon says that it is ready."""
        try:
            fetch_json(f"{self.deployment.url(name)}/readyz", timeout=1.0)
        except CallError:
            return False
        return True

    def choose(self):
        """Return the URL of a ready daemon, in turn."""
        ready = self.ready
        self.turn += 1
        return self.deployment.url(ready[self.turn % len(ready)])


class Stream:
    """Streams answers through the balancer, one after the other."""

    def __init__(self, *, balancer, number):
        self.balancer = balancer
        self.number = number
        self.whole = 0
        self.failures = []
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def run(self):
        """Stream until stopped."""
        while not self.stopped.is_set():
            caller = Caller(url=self.balancer.choose(), key=CALLER_KEY)
            request = {
                "model": MODEL,
                "prompt": f"pip {self.number}",
                "max_tokens": TOKENS,
            }
            try:
                for _ in caller.stream("/v1/completions", request):
                    pass
                self.whole += 1
            except (OSError, RefusedError, StreamCutError) as error:
                self.failures.append(repr(error))


class Callers:
    """A balancer and the streams that go through it."""

    def __init__(self, *, deployment):
        self.balancer = Balancer(deployment=deployment)
        self.streams = [
            Stream(balancer=self.balancer, number=number)
            for number in range(STREAMS)
        ]

    def start(self):
        """Start the balancer and all streams."""
        for part in (self.balancer, *self.streams):
            part.thread.start()

    def stop(self):
        """Wait for the last answers."""
        for part in (*self.streams, self.balancer):
            part.stopped.set()
            part.thread.join()

    def check(self):
        """Check that each answer was whole."""
        assert [f for s in self.streams for f in s.failures] == []
        assert all(stream.whole for stream in self.streams)


@pytest.fixture(name="deployment")
def start_deployment():
    """Return a data centre with three daemons and two engines."""
    layouts = build_layouts("attiki", engines=2, daemons=3, services=())
    with open_deployment(layouts=layouts, timing=TIMING) as deployment:
        yield deployment


@pytest.fixture(name="callers")
def start_callers(deployment):
    """Return callers that are at work."""
    callers = Callers(deployment=deployment)
    callers.start()
    yield callers
    callers.stop()


def test_two_signals_under_load_cut_nothing(deployment, callers):
    time.sleep(1.0)
    daemon = deployment.daemon_names[0]
    deployment.terminate(daemon)
    time.sleep(0.3)
    deployment.terminate(daemon)
    assert deployment.wait(daemon) == 0
    callers.stop()
    callers.check()


def test_a_rolling_restart_cuts_nothing(deployment, callers):
    for daemon in deployment.daemon_names:
        assert deployment.restart(daemon) == 0
        time.sleep(2 * BALANCER_SECONDS)
    callers.stop()
    callers.check()


def test_a_rolling_restart_keeps_the_items_of_a_job(deployment, callers):
    caller = Caller(
        url=deployment.url(deployment.daemon_names[0]), key=CALLER_KEY
    )
    prompts = {f"i{number}": f"pip {number}" for number in range(ITEMS)}
    items = build_items(prompts, model=MODEL, max_tokens=TOKENS)
    job = submit_batch(caller, items)["id"]
    for daemon in deployment.daemon_names:
        assert deployment.restart(daemon) == 0
        time.sleep(2 * BALANCER_SECONDS)
    callers.stop()
    callers.check()
    batch = wait_batch(caller, job, seconds=JOB_SECONDS)
    output, errors = fetch_results(caller, batch)
    assert not find_duplicate_results(output + errors)
    assert {line["custom_id"] for line in output} == set(prompts)


def test_a_stop_in_a_store_outage_cuts_nothing(deployment, callers):
    deployment.control("store", outage=True)
    daemon = deployment.daemon_names[0]
    deployment.terminate(daemon)
    assert deployment.wait(daemon) == 0
    callers.stop()
    callers.check()


def test_peers_hear_of_a_stop_at_once(deployment):
    operator = Operator(deployment=deployment)
    daemon, other, _ = deployment.daemon_names
    deployment.terminate(daemon)
    end = time.monotonic() + NOTICE_SECONDS
    while read_state(operator, other, daemon) != "leaving":
        assert time.monotonic() < end
        time.sleep(0.02)
    assert deployment.wait(daemon) == 0


def read_state(operator, daemon, about):
    members = operator.get(daemon, "status")["members"]
    return {m["instance"]: m["state"] for m in members}.get(about)


def test_an_idle_connection_is_served_then_closed(deployment):
    daemon = deployment.daemon_names[0]
    connection = http.client.HTTPConnection(
        "127.0.0.1", deployment.ports[daemon], timeout=20
    )
    connection.request("GET", "/healthz")
    assert connection.getresponse().read()
    deployment.find(daemon).child.send_signal(signal.SIGTERM)
    time.sleep(NOTICE_SECONDS / 3)
    connection.request("GET", "/healthz")
    answer = connection.getresponse()
    assert answer.status == 200
    assert answer.getheader("connection") == "close"
    answer.read()
    connection.close()
    assert deployment.wait(daemon) == 0


def test_repeated_signals_do_no_harm():
    layouts = build_layouts("attiki", engines=0, services=())
    timing = {"drain_notice": 0.1}
    with open_deployment(layouts=layouts, timing=timing) as deployment:
        (daemon,) = deployment.daemon_names
        process = deployment.find(daemon)
        while process.is_running:
            deployment.terminate(daemon)
            time.sleep(0.002)
        assert deployment.wait(daemon) == 0
