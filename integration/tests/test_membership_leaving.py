"""A leaving upstream gets no new work, whichever daemon detects it first."""

import threading
import time

import pytest

from hollyspan_standins.caller import Caller
from hollyspan_standins.caller import RefusedError
from hollyspan_standins.caller import StreamCutError
from hollyspan_standins.checker import find_late_dispatches
from hollyspan_standins.deployment import build_layouts
from hollyspan_standins.deployment import CALLER_KEY
from hollyspan_standins.deployment import open_deployment

MODEL = "pips-lm"
LEAVING_GRACE_S = 3.0
LOAD_DURATION_S = 5.0
LIST_LAG_S = 0.2
REQUEST = {"model": MODEL, "prompt": "pip", "max_tokens": 4}


class LoadGenerator:
    """Sends requests through one daemon, one after the other."""

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
        """Stop sending and wait for the last request."""
        self.stopped.set()
        self.thread.join()


@pytest.fixture(name="start_load_on_all")
def start_loads():
    """Return a function that starts load on all daemons of a deployment."""
    loads = []

    def start(deployment):
        for daemon in deployment.daemon_names:
            loads.append(LoadGenerator(url=deployment.url(daemon)))
            loads[-1].thread.start()
        return loads

    yield start
    for load in loads:
        load.stop()


def open_data_centre(**options):
    layouts = build_layouts("attiki", engines=2, daemons=3, services=())
    return open_deployment(layouts=layouts, **options)


def find_dispatches_after_leaving(deployment, engine, announced):
    return find_late_dispatches(
        deployment.read_records(),
        announced + LEAVING_GRACE_S,
        upstream=engine,
    )


def test_leaving_listed_to_one_daemon_only(start_load_on_all):
    options = {"proxied": ["instances"], "instance_list_lag": LIST_LAG_S}
    with open_data_centre(**options) as deployment:
        _, *others = deployment.daemon_names
        engine, _ = deployment.list_upstreams()
        loads = start_load_on_all(deployment)
        time.sleep(1.0)
        for daemon in others:
            deployment.set_link_faults(f"instances:{daemon}", freeze=True)
        deployment.announce_leaving(engine, by_upstream=False)
        announced = time.time() + LIST_LAG_S
        time.sleep(LOAD_DURATION_S)
        for load in loads:
            load.stop()
        assert not find_dispatches_after_leaving(deployment, engine, announced)
        assert all(load.answered for load in loads)
        dispatched = find_late_dispatches(
            deployment.read_records(), 0.0, upstream=engine
        )
        assert dispatched


def test_stale_list_does_not_restore_leaving_upstream(start_load_on_all):
    with open_data_centre(instance_list_lag=60.0) as deployment:
        engine, _ = deployment.list_upstreams()
        loads = start_load_on_all(deployment)
        time.sleep(1.0)
        deployment.announce_leaving(engine, by_instance_list=False)
        announced = time.time()
        time.sleep(LOAD_DURATION_S)
        for load in loads:
            load.stop()
        assert not find_dispatches_after_leaving(deployment, engine, announced)


def test_restarted_daemon_does_not_use_leaving_upstream(start_load_on_all):
    with open_data_centre(instance_list_lag=60.0) as deployment:
        daemon = deployment.daemon_names[0]
        engine, _ = deployment.list_upstreams()
        deployment.announce_leaving(engine, by_instance_list=False)
        announced = time.time()
        deployment.kill(daemon)
        time.sleep(LEAVING_GRACE_S)
        deployment.start(daemon)
        loads = start_load_on_all(deployment)
        time.sleep(2.0)
        for load in loads:
            load.stop()
        assert all(load.answered for load in loads)
        assert not find_dispatches_after_leaving(deployment, engine, announced)
