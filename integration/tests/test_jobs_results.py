"""Each accepted item has exactly one readable result under faults."""

from concurrent.futures import ThreadPoolExecutor
import random
import time

import pytest

from hollyspan_standins.caller import build_items
from hollyspan_standins.checker import find_lost_results
from hollyspan_standins.checker import find_repeated_runs
from hollyspan_standins.deployment import build_configuration
from hollyspan_standins.deployment import build_layouts
from hollyspan_standins.deployment import open_deployment

TIMING = {
    "heartbeat": 0.2,
    "peer_timeout": 1.0,
    "lease": 3.0,
    "lease_margin": 1.0,
    "watch_refresh": 2.0,
    "part_flush": 0.4,
    "store_timeout": 1.0,
    "drain_notice": 0.5,
}
PROMPTS = {f"i{number}": f"tide {number}" for number in range(90)}


@pytest.fixture
def deployment():
    with open_deployment(
        layouts=build_layouts("attiki", "kriti"), timing=TIMING
    ) as deployment:
        yield deployment


@pytest.fixture
def tester(deployment, create_tester):
    return create_tester(deployment=deployment)


def wait_until_admitted(tester, batch, count=1):
    tester.wait_until(
        lambda: tester.count_events("admitted", batch=batch) >= count
    )


def test_daemon_killed_right_after_the_acknowledgement(deployment, tester):
    batch = tester.submit(PROMPTS)
    deployment.kill(deployment.daemon_names[0])
    batch = tester.wait(batch, daemon=1)
    before = tester.check_complete(PROMPTS, batch, daemon=1)
    for name in deployment.daemon_names:
        if deployment.find(name).child is None or name.startswith("attiki"):
            deployment.start(name)
        else:
            assert deployment.restart(name) == 0
    after = tester.check_complete(PROMPTS, batch)
    assert find_lost_results(before, after) == []


@pytest.mark.parametrize("seed", [1, 2])
def test_daemons_killed_mid_chunk(deployment, tester, seed):
    generator = random.Random(seed)
    batch = tester.submit(PROMPTS, max_tokens=24)
    for name in generator.sample(deployment.daemon_names, 2):
        wait_until_admitted(tester, batch, count=generator.randint(1, 40))
        time.sleep(generator.uniform(0.0, 0.3))
        deployment.kill(name)
        deployment.start(name)
    batch = tester.wait(batch)
    lines = tester.check_complete(PROMPTS, batch)
    assert [line for line in lines if line["error"]] == []


def test_engine_killed_with_items_in_flight(deployment, tester):
    batch = tester.submit(PROMPTS, max_tokens=24)
    wait_until_admitted(tester, batch, count=20)
    engine = deployment.list_upstreams()[0]
    deployment.kill(engine)
    time.sleep(1.0)
    deployment.start(engine)
    batch = tester.wait(batch)
    lines = tester.check_complete(PROMPTS, batch)
    assert [line for line in lines if line["error"]] == []


def test_engines_refuse_all_starts_temporarily(deployment, tester):
    engines = deployment.list_upstreams()
    batch = tester.submit(PROMPTS, max_tokens=24)
    wait_until_admitted(tester, batch, count=8)
    for engine in engines:
        deployment.control(engine, fail_starts=True)
    time.sleep(5.0)
    refused = tester.count_events("refused", batch=batch)
    for engine in engines:
        deployment.control(engine, fail_starts=False)
    batch = tester.wait(batch)
    lines = tester.check_complete(PROMPTS, batch)
    assert [line for line in lines if line["error"]] == []
    assert refused <= len(PROMPTS)


def test_daemon_killed_between_storing_a_part_and_the_reply(
    deployment, tester
):
    deployment.control("store", lose_replies=True, lose_matching="results/")
    batch = tester.submit(PROMPTS)
    wait_until_admitted(tester, batch, count=30)
    time.sleep(0.6)
    deployment.kill(deployment.daemon_names[0])
    deployment.control("store", lose_replies=0)
    deployment.start(deployment.daemon_names[0])
    batch = tester.wait(batch, daemon=1)
    tester.check_complete(PROMPTS, batch, daemon=1)


@pytest.mark.parametrize(
    "matching", ["claims/", "attempts/", "jobs/", "results/", "queue/"]
)
def test_replies_of_the_store_are_lost(deployment, tester, matching):
    batch = tester.submit(PROMPTS)
    deployment.control("store", lose_replies=6, lose_matching=matching)
    batch = tester.wait(batch, daemon=1)
    tester.check_complete(PROMPTS, batch, daemon=1)


def test_holder_frozen_beyond_its_lease(deployment, tester):
    batch = tester.submit(PROMPTS, max_tokens=40)
    wait_until_admitted(tester, batch, count=12)
    frozen = deployment.daemon_names[0]
    assert frozen in tester.find_holders(batch)
    deployment.freeze(frozen)
    time.sleep(TIMING["lease"] + 2.0)
    deployment.thaw(frozen)
    batch = tester.wait(batch, daemon=1)
    before = tester.check_complete(PROMPTS, batch, daemon=1)
    time.sleep(1.0)
    after = tester.check_complete(PROMPTS, batch, daemon=0)
    assert find_lost_results(before, after) == []


def test_all_daemons_are_restarted_while_a_job_runs(deployment, tester):
    batch = tester.submit(PROMPTS, max_tokens=24)
    for name in deployment.daemon_names:
        wait_until_admitted(tester, batch, count=5)
        assert deployment.restart(name) == 0
    batch = tester.wait(batch)
    lines = tester.check_complete(PROMPTS, batch)
    assert [line for line in lines if line["error"]] == []


def test_released_chunks_are_claimed_before_the_lease_ends(create_tester):
    timing = {**TIMING, "lease": 60.0, "lease_margin": 5.0}
    with open_deployment(
        layouts=build_layouts("attiki", "kriti"), timing=timing
    ) as deployment:
        tester = create_tester(deployment=deployment)
        batch = tester.submit(PROMPTS, max_tokens=24)
        wait_until_admitted(tester, batch, count=12)
        name = deployment.daemon_names[0]
        deployment.terminate(name)
        assert deployment.wait(name) == 0
        batch = tester.wait(batch, daemon=1)
        tester.check_complete(PROMPTS, batch, daemon=1)


def test_job_created_through_two_daemons_at_once(tester):
    caller = tester.open_caller()
    tester.max_tokens = 16
    file = caller.upload(build_items(PROMPTS, model="pips-lm"))
    request = {
        "input_file_id": file["id"],
        "endpoint": "/v1/chat/completions",
        "completion_window": "24h",
    }

    def create(daemon):
        return tester.open_caller(daemon).post("/v1/batches", request)

    with ThreadPoolExecutor() as pool:
        batches = list(pool.map(create, [0, 1, 0, 1]))
    assert len({batch["id"] for batch in batches}) == 1
    batch = tester.wait(batches[0])
    tester.check_complete(PROMPTS, batch)


def test_items_that_always_fail(create_tester):
    configuration = build_configuration(
        model="pips-lm",
        services=["clock"],
        slots=8,
        batch={"item_timeout_seconds": 2},
    )
    prompts = {**PROMPTS, "never": "[[fail]]", "slow": "[[slow]]"}
    prompts.update({f"break{n}": f"[[break]] {n}" for n in range(3)})
    with open_deployment(
        layouts=build_layouts("attiki", "kriti"),
        timing=TIMING,
        configuration=configuration,
    ) as deployment:
        tester = create_tester(deployment=deployment)
        batch = tester.wait(tester.submit(prompts))
        lines = tester.check_complete(prompts, batch)
    codes = {
        line["custom_id"]: line["error"]["code"]
        for line in lines
        if line["error"]
    }
    assert codes == {
        "never": "upstream_error",
        "slow": "item_timeout",
        "break0": "attempts_exhausted",
        "break1": "attempts_exhausted",
        "break2": "attempts_exhausted",
    }


@pytest.mark.parametrize("seed", [1, 2])
def test_non_idempotent_items_run_at_most_once(deployment, tester, seed):
    generator = random.Random(seed)
    batch = tester.submit(
        PROMPTS, max_tokens=24, metadata={"idempotent": "false"}
    )
    for name in generator.sample(deployment.daemon_names, 2):
        wait_until_admitted(tester, batch, count=generator.randint(1, 30))
        if generator.random() < 0.5:
            deployment.kill(name)
            deployment.start(name)
        else:
            deployment.freeze(name)
            time.sleep(TIMING["lease"] + 1.0)
            deployment.thaw(name)
    batch = tester.wait(batch)
    lines = tester.check_complete(PROMPTS, batch)
    keys = {f"{batch['id']}/{number}" for number in range(len(PROMPTS))}
    assert find_repeated_runs(deployment.read_records(), keys=keys) == []
    assert {line["error"]["outcome"] for line in lines if line["error"]} <= {
        "unknown"
    }


@pytest.mark.parametrize("idempotent", ["true", "false"])
def test_preempted_items_are_resumed(deployment, tester, idempotent):
    batch = tester.submit(
        PROMPTS, max_tokens=60, metadata={"idempotent": idempotent}
    )
    request = {
        "model": "pips-lm",
        "max_tokens": 20,
        "messages": [{"role": "user", "content": "drift"}],
    }

    def send_online(number):
        caller = tester.open_caller(number % 2)
        return "".join(caller.stream("/v1/chat/completions", request))

    with ThreadPoolExecutor(max_workers=14) as pool:
        for _ in range(3):
            wait_until_admitted(tester, batch, count=8)
            answers = set(pool.map(send_online, range(14)))
            assert len(answers) == 1
            time.sleep(0.5)
    batch = tester.wait(batch)
    lines = tester.check_complete(PROMPTS, batch)
    assert [line for line in lines if line["error"]] == []
    assert tester.count_events("cancelled", batch=batch) > 0
    assert tester.count_events("resumed", batch=batch) > 0
    keys = {f"{batch['id']}/{number}" for number in range(len(PROMPTS))}
    repeats = find_repeated_runs(deployment.read_records(), keys=keys)
    assert idempotent == "true" or repeats == []
