"""Online requests don't wait in an engine's queue behind batch work."""

import concurrent.futures
import contextlib
import time

import pytest

from hollyspan_policy.ownership import choose_owner
from hollyspan_standins.caller import Caller
from hollyspan_standins.checker import find_blocked_online
from hollyspan_standins.deployment import build_configuration
from hollyspan_standins.deployment import build_layouts
from hollyspan_standins.deployment import open_deployment
from hollyspan_standins.deployment import sample_run_delays

MODEL = "pips-lm"
API_KEY = "dev-key"
SLOTS = 8
ITEMS = 300
ITEM_TOKENS = 60
# Such items run much longer than a takeover takes.
LONG_ITEM_TOKENS = 1500
FREED_ITEMS = 40
FREED_ITEM_TOKENS = 300
ONLINE_TOKENS = 20
BURST_REQUESTS = 10
BURST_INTERVAL_S = 0.5
FILL_TIMEOUT_S = 20.0
# Covers the message to the owner, the cancellation at the engine and the event
# loops in between.
MAX_YIELD_DELAY_S = 0.25


def build_prompts():
    return {f"item-{i}": f"reorder note {i}" for i in range(ITEMS)}


def wait_until_filled(deployment, *, streams):
    """Wait until each engine runs at least this many batch streams."""
    deadline = time.monotonic() + FILL_TIMEOUT_S
    engines = set(deployment.list_upstreams())
    while time.monotonic() < deadline:
        filled = set()
        for record in deployment.read_records(*engines):
            running = record["running_classes"].get("batch", 0)
            if running >= streams:
                filled.add(record["engine"])
        if filled == engines:
            return
        time.sleep(0.1)
    pytest.fail("batch work did not fill the engines")


def send_online(url, number):
    """Send one online request."""
    caller = Caller(url=url, key=API_KEY)
    caller.post(
        "/v1/completions",
        {
            "model": MODEL,
            "prompt": f"stall question {number}",
            "max_tokens": ONLINE_TOKENS,
        },
    )


def send_burst(deployment, daemons, *, rounds=2):
    """Send bursts of simultaneous online requests, spread over daemons."""
    with concurrent.futures.ThreadPoolExecutor(BURST_REQUESTS) as pool:
        for burst in range(rounds):
            pending = [
                pool.submit(
                    send_online,
                    deployment.url(daemons[i % len(daemons)]),
                    f"{burst}-{i}",
                )
                for i in range(BURST_REQUESTS)
            ]
            for future in pending:
                future.result()
            time.sleep(BURST_INTERVAL_S)


@contextlib.contextmanager
def collect_blocked_requests(deployment):
    """Yield a list; on exit, add a text for each blocked online request.

    Notes
    -----
    Time in which the daemons and the engine of a data centre waited for a
    processor is not counted, so that the limit bounds the system's own delay
    and doesn't depend on other load on the machine.
    """
    descriptions = []
    with sample_run_delays(
        deployment, [*deployment.daemon_names, *deployment.list_upstreams()]
    ) as delays:
        yield descriptions

    def measure_processor_wait(engine, since, until):
        names = [engine, *list_local_daemons(deployment, engine)]
        return delays.measure(names, since, until)

    violations = find_blocked_online(
        deployment.read_records(*deployment.list_upstreams()),
        notice_seconds=MAX_YIELD_DELAY_S,
        measure_processor_wait=measure_processor_wait,
    )
    descriptions += [f"{v.subject}: {v.detail}" for v in violations]


def list_local_daemons(deployment, engine):
    """Return the daemons in an engine's data centre."""
    (data_centre,) = [
        upstream.data_centre
        for upstream in deployment.upstreams
        if upstream.name == engine
    ]
    return [
        daemon.name
        for daemon in deployment.daemons
        if daemon.data_centre == data_centre
    ]


@pytest.mark.parametrize("bursting", ["one", "all"])
def test_burst_does_not_wait_behind_batch(create_tester, bursting):
    layouts = build_layouts("attiki", "makedonia", "kriti", daemons=2)
    with open_deployment(layouts=layouts, slots=SLOTS) as deployment:
        create_tester(deployment=deployment).submit(
            build_prompts(), max_tokens=ITEM_TOKENS
        )
        wait_until_filled(deployment, streams=SLOTS // 2)
        daemons = deployment.daemon_names
        if bursting == "one":
            daemons = daemons[:2]
        with collect_blocked_requests(deployment) as blocked:
            send_burst(deployment, daemons)
    assert blocked == []


def test_online_waits_behind_batch_without_yielding(create_tester):
    configuration = build_configuration(
        model=MODEL, services=(), slots=SLOTS, batch={"policy": "as_online"}
    )
    layouts = build_layouts("attiki", daemons=2)
    with open_deployment(
        layouts=layouts, slots=SLOTS, configuration=configuration
    ) as deployment:
        create_tester(deployment=deployment).submit(
            build_prompts(), max_tokens=FREED_ITEM_TOKENS
        )
        wait_until_filled(deployment, streams=SLOTS)
        with collect_blocked_requests(deployment) as blocked:
            send_burst(deployment, deployment.daemon_names)
    assert blocked


def find_owner(deployment, engine):
    return choose_owner(engine, deployment.daemon_names)


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_loss_of_the_owner_in_a_burst(create_tester, fault):
    layouts = build_layouts("attiki", engines=2, daemons=3)
    with open_deployment(layouts=layouts, slots=SLOTS) as deployment:
        create_tester(deployment=deployment).submit(
            build_prompts(), max_tokens=LONG_ITEM_TOKENS
        )
        wait_until_filled(deployment, streams=SLOTS // 2)
        daemons = deployment.daemon_names
        engine = deployment.list_upstreams()[0]
        owner = find_owner(deployment, engine)
        others = [name for name in daemons if name != owner]
        with collect_blocked_requests(deployment) as blocked:
            getattr(deployment, fault)(owner)
            send_burst(deployment, others, rounds=4)
        if fault == "freeze":
            deployment.thaw(owner)
    assert blocked == []


def test_lost_datagrams_in_a_burst(create_tester):
    """The owners are live but receive no message about the burst."""
    layouts = build_layouts("attiki", engines=2, daemons=3)
    with open_deployment(
        layouts=layouts, slots=SLOTS, proxied=["peers"]
    ) as deployment:
        create_tester(deployment=deployment).submit(
            build_prompts(), max_tokens=LONG_ITEM_TOKENS
        )
        wait_until_filled(deployment, streams=SLOTS // 2)
        with collect_blocked_requests(deployment) as blocked:
            deployment.set_link_faults("peer:*", cut=True)
            send_burst(deployment, deployment.daemon_names, rounds=2)
    assert blocked == []


def test_restart_of_the_owner_in_a_burst(create_tester):
    """The new process has no record of its predecessor's streams."""
    layouts = build_layouts("attiki", engines=2, daemons=3)
    with open_deployment(layouts=layouts, slots=SLOTS) as deployment:
        create_tester(deployment=deployment).submit(
            build_prompts(), max_tokens=LONG_ITEM_TOKENS
        )
        wait_until_filled(deployment, streams=SLOTS // 2)
        owner = find_owner(deployment, deployment.list_upstreams()[0])
        with collect_blocked_requests(deployment) as blocked:
            deployment.kill(owner)
            deployment.wait(owner)
            deployment.start(owner)
            send_burst(deployment, deployment.daemon_names, rounds=3)
    assert blocked == []


def test_freed_streams_have_one_result_each(create_tester):
    """The thawed owner treats streams that others cancelled as preempted."""
    layouts = build_layouts("attiki", engines=2, daemons=3)
    prompts = {f"item-{i}": f"tide table {i}" for i in range(FREED_ITEMS)}
    # With one attempt, a stream counted as failed would end its item.
    configuration = build_configuration(
        model=MODEL, services=(), slots=SLOTS, batch={"item_attempts": 1}
    )
    with open_deployment(
        layouts=layouts, slots=SLOTS, configuration=configuration
    ) as deployment:
        tester = create_tester(deployment=deployment)
        owner = find_owner(deployment, deployment.list_upstreams()[0])
        daemons = deployment.daemon_names
        others = [name for name in daemons if name != owner]
        batch = tester.submit(prompts, max_tokens=FREED_ITEM_TOKENS)
        wait_until_filled(deployment, streams=SLOTS // 2)
        with collect_blocked_requests(deployment) as blocked:
            deployment.freeze(owner)
            send_burst(deployment, others, rounds=1)
            deployment.thaw(owner)
            send_burst(deployment, daemons, rounds=3)
        batch = tester.wait(batch)
        lines = tester.check_complete(prompts, batch)
    assert blocked == []
    assert [line for line in lines if line["error"]] == []
