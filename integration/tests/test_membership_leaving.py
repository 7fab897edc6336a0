"""A leaving upstream gets no new work, whoever has seen it first."""

import threading
import time

import pytest

from hollyspan_standins.caller import Caller
from hollyspan_standins.caller import RefusedError
from hollyspan_standins.caller import StreamCutError
from hollyspan_standins.checker import find_dispatches_after
from hollyspan_standins.deployment import build_layouts
from hollyspan_standins.deployment import CALLER_KEY
from hollyspan_standins.deployment import open_deployment

MODEL = "pips-lm"
LEAVING_SECONDS = 3.0
LOAD_SECONDS = 5.0
LIST_LAG_SECONDS = 0.2
REQUEST = {"model": MODEL, "prompt": "pip", "max_tokens": 4}


class Load:
    """Sends requests through a daemon, one after the other."""

    def __init__(self, *, url):
        self.caller = Caller(url=url, key=CALLER_KEY)
        self.stopped = threading.Event()
        self.answered = 0
        self.failures = []
        self.thread = threading.Thread(target=self.run)

    def run(self):
        """Send requests until stopped."""
        while not self.stopped.is_set():
            try:
                self.caller.post("/v1/completions", REQUEST)
                self.answered += 1
            except (OSError, RefusedError, StreamCutError) as error:
                self.failures.append(error)

    def stop(self):
        """Wait for the last request."""
        self.stopped.set()
        self.thread.join()


@pytest.fixture(name="load_all")
def start_loads():
    """Return a function that puts load on all daemons of a deployment."""
    loads = []

    def start(deployment):
        for daemon in deployment.daemon_names:
            loads.append(Load(url=deployment.url(daemon)))
            loads[-1].thread.start()
        return loads

    yield start
    for load in loads:
        load.stop()


def open_place(**options):
    layouts = build_layouts("attiki", engines=2, daemons=3, services=())
    return open_deployment(layouts=layouts, **options)


def find_late(deployment, engine, announced):
    return find_dispatches_after(
        deployment.read_records(),
        announced + LEAVING_SECONDS,
        upstream=engine,
    )


def test_leaving_seen_in_the_list_by_one_daemon_only(load_all):
    options = {"proxied": ["instances"], "instance_list_lag": LIST_LAG_SECONDS}
    with open_place(**options) as deployment:
        _, *others = deployment.daemon_names
        engine, _ = deployment.list_upstreams()
        loads = load_all(deployment)
        time.sleep(1.0)
        for daemon in others:
            deployment.set_link_faults(f"instances:{daemon}", freeze=True)
        deployment.announce_leaving(engine, by_upstream=False)
        announced = time.time() + LIST_LAG_SECONDS
        time.sleep(LOAD_SECONDS)
        for load in loads:
            load.stop()
        assert not find_late(deployment, engine, announced)
        assert all(load.answered for load in loads)
        used = find_dispatches_after(
            deployment.read_records(), 0.0, upstream=engine
        )
        assert used


def test_a_lagging_list_brings_no_leaving_upstream_back(load_all):
    with open_place(instance_list_lag=60.0) as deployment:
        engine, _ = deployment.list_upstreams()
        loads = load_all(deployment)
        time.sleep(1.0)
        deployment.announce_leaving(engine, by_instance_list=False)
        announced = time.time()
        time.sleep(LOAD_SECONDS)
        for load in loads:
            load.stop()
        assert not find_late(deployment, engine, announced)


def test_a_restarted_daemon_uses_no_leaving_upstream(load_all):
    with open_place(instance_list_lag=60.0) as deployment:
        daemon = deployment.daemon_names[0]
        engine, _ = deployment.list_upstreams()
        deployment.announce_leaving(engine, by_instance_list=False)
        announced = time.time()
        deployment.kill(daemon)
        time.sleep(LEAVING_SECONDS)
        deployment.start(daemon)
        loads = load_all(deployment)
        time.sleep(2.0)
        for load in loads:
            load.stop()
        assert all(load.answered for load in loads)
        assert not find_late(deployment, engine, announced)
