"""Online requests never wait in an engine's queue behind batch work."""

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
KEY = "dev-key"
SLOTS = 8
ITEMS = 300
ITEM_TOKENS = 60
# Items that outlast the takeover by far.
LONG_ITEM_TOKENS = 1500
FREED_ITEMS = 40
FREED_ITEM_TOKENS = 300
ONLINE_TOKENS = 20
BURST = 10
PAUSE_SECONDS = 0.5
BUSY_SECONDS = 20.0
# Notice to the owner, cancel at the engine, and the loops between them.
NOTICE_SECONDS = 0.25


def build_prompts():
    return {f"item-{i}": f"reorder note {i}" for i in range(ITEMS)}


def wait_busy(deployment, *, streams):
    """Wait until batch has filled each engine to a number of streams."""
    end = time.monotonic() + BUSY_SECONDS
    names = set(deployment.list_upstreams())
    while time.monotonic() < end:
        busy = set()
        for record in deployment.read_records(*names):
            running = record["running_classes"].get("batch", 0)
            if running >= streams:
                busy.add(record["engine"])
        if busy == names:
            return
        time.sleep(0.1)
    pytest.fail("batch did not fill the engines")


def send_online(url, number):
    """Send one online request."""
    caller = Caller(url=url, key=KEY)
    caller.post(
        "/v1/completions",
        {
            "model": MODEL,
            "prompt": f"stall question {number}",
            "max_tokens": ONLINE_TOKENS,
        },
    )


def send_burst(deployment, daemons, *, rounds=2):
    """Send bursts of online requests, all at once, over daemons."""
    with concurrent.futures.ThreadPoolExecutor(BURST) as pool:
        for turn in range(rounds):
            waiting = [
                pool.submit(
                    send_online,
                    deployment.url(daemons[i % len(daemons)]),
                    f"{turn}-{i}",
                )
                for i in range(BURST)
            ]
            for work in waiting:
                work.result()
            time.sleep(PAUSE_SECONDS)


@contextlib.contextmanager
def watch_blocking(deployment):
    """Yield a list that gets what was found blocked, in words.

    Notes
    -----
    Time in which the daemons and the engine of a data centre had no processor
    counts as none: the bound is on the notice, whatever else runs on the
    machine.
    """
    found = []
    with sample_run_delays(
        deployment, [*deployment.daemon_names, *deployment.list_upstreams()]
    ) as delays:
        yield found

    def measure_delay(engine, since, until):
        names = [engine, *list_neighbours(deployment, engine)]
        return delays.measure(names, since, until)

    violations = find_blocked_online(
        deployment.read_records(*deployment.list_upstreams()),
        notice_seconds=NOTICE_SECONDS,
        measure_delay=measure_delay,
    )
    found += [f"{v.subject}: {v.detail}" for v in violations]


def list_neighbours(deployment, engine):
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
def test_burst_does_not_wait_behind_batch(open_tester, bursting):
    layouts = build_layouts("attiki", "makedonia", "kriti", daemons=2)
    with open_deployment(layouts=layouts, slots=SLOTS) as deployment:
        open_tester(deployment=deployment).submit(
            build_prompts(), max_tokens=ITEM_TOKENS
        )
        wait_busy(deployment, streams=SLOTS // 2)
        daemons = deployment.daemon_names
        if bursting == "one":
            daemons = daemons[:2]
        with watch_blocking(deployment) as blocked:
            send_burst(deployment, daemons)
    assert blocked == []


def test_without_yielding_online_waits(open_tester):
    configuration = build_configuration(
        model=MODEL, services=(), slots=SLOTS, batch={"policy": "as_online"}
    )
    layouts = build_layouts("attiki", daemons=2)
    with open_deployment(
        layouts=layouts, slots=SLOTS, configuration=configuration
    ) as deployment:
        open_tester(deployment=deployment).submit(
            build_prompts(), max_tokens=FREED_ITEM_TOKENS
        )
        wait_busy(deployment, streams=SLOTS)
        with watch_blocking(deployment) as blocked:
            send_burst(deployment, deployment.daemon_names)
    assert blocked


def find_owner(deployment, engine):
    return choose_owner(engine, deployment.daemon_names)


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_loss_of_the_owner_in_a_burst(open_tester, fault):
    layouts = build_layouts("attiki", engines=2, daemons=3)
    with open_deployment(layouts=layouts, slots=SLOTS) as deployment:
        open_tester(deployment=deployment).submit(
            build_prompts(), max_tokens=LONG_ITEM_TOKENS
        )
        wait_busy(deployment, streams=SLOTS // 2)
        daemons = deployment.daemon_names
        engine = deployment.list_upstreams()[0]
        owner = find_owner(deployment, engine)
        others = [name for name in daemons if name != owner]
        with watch_blocking(deployment) as blocked:
            getattr(deployment, fault)(owner)
            send_burst(deployment, others, rounds=4)
        if fault == "freeze":
            deployment.thaw(owner)
    assert blocked == []


def test_lost_datagrams_in_a_burst(open_tester):
    """The owners live, but hear nothing of the burst."""
    layouts = build_layouts("attiki", engines=2, daemons=3)
    with open_deployment(
        layouts=layouts, slots=SLOTS, proxied=["peers"]
    ) as deployment:
        open_tester(deployment=deployment).submit(
            build_prompts(), max_tokens=LONG_ITEM_TOKENS
        )
        wait_busy(deployment, streams=SLOTS // 2)
        with watch_blocking(deployment) as blocked:
            deployment.set_link_faults("peer:*", cut=True)
            send_burst(deployment, deployment.daemon_names, rounds=2)
    assert blocked == []


def test_restart_of_the_owner_in_a_burst(open_tester):
    """The new process knows nothing of the streams of the old one."""
    layouts = build_layouts("attiki", engines=2, daemons=3)
    with open_deployment(layouts=layouts, slots=SLOTS) as deployment:
        open_tester(deployment=deployment).submit(
            build_prompts(), max_tokens=LONG_ITEM_TOKENS
        )
        wait_busy(deployment, streams=SLOTS // 2)
        owner = find_owner(deployment, deployment.list_upstreams()[0])
        with watch_blocking(deployment) as blocked:
            deployment.kill(owner)
            deployment.wait(owner)
            deployment.start(owner)
            send_burst(deployment, deployment.daemon_names, rounds=3)
    assert blocked == []


def test_freed_streams_have_one_result_each(open_tester):
    """The owner wakes and takes the cancelled streams for preempted."""
    layouts = build_layouts("attiki", engines=2, daemons=3)
    prompts = {f"item-{i}": f"tide table {i}" for i in range(FREED_ITEMS)}
    # A stream that were counted as failed would end its item.
    configuration = build_configuration(
        model=MODEL, services=(), slots=SLOTS, batch={"item_attempts": 1}
    )
    with open_deployment(
        layouts=layouts, slots=SLOTS, configuration=configuration
    ) as deployment:
        tester = open_tester(deployment=deployment)
        owner = find_owner(deployment, deployment.list_upstreams()[0])
        daemons = deployment.daemon_names
        others = [name for name in daemons if name != owner]
        batch = tester.submit(prompts, max_tokens=FREED_ITEM_TOKENS)
        wait_busy(deployment, streams=SLOTS // 2)
        with watch_blocking(deployment) as blocked:
            deployment.freeze(owner)
            send_burst(deployment, others, rounds=1)
            deployment.thaw(owner)
            send_burst(deployment, daemons, rounds=3)
        batch = tester.wait(batch)
        lines = tester.check_whole(prompts, batch)
    assert blocked == []
    assert [line for line in lines if line["error"]] == []
