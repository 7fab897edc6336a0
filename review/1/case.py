"""A worker that was frozen gives up items of a route that is new to it."""

import asyncio
import os
from pathlib import Path
import secrets
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.deployment import HOST  # noqa: E402
from standins.deployment import run_case  # noqa: E402
from standins.replica import build_output  # noqa: E402

ITEMS = 60
EVENTS = 60
# The stores of dala-span freeze for 3.2 s, one at a time.
FREEZE_S = 3.2
# Changes in quick succession, as in the storms of dala-span.
CHANGE_GAP_S = 0.33


def build_routes(*, timeout_ms, has_new_route):
    stream = {
        "Name": "online",
        "Host": HOST,
        "Prefix": "/s/",
        "Service": "m",
        "Kind": "stream",
        "Resumable": True,
        "Sticky": True,
        "MaxAttempts": 2,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 300,
        "GapTargetMs": 400,
        "Priority": 0,
    }
    batch = {
        "Host": HOST,
        "Service": "m",
        "Kind": "batch",
        "MaxAttempts": 3,
        "TimeoutMs": 15000,
        "TargetLatencyMs": 500,
        "CompletionTargetMs": 18000,
        "RetentionS": 60,
        "Priority": 2,
    }
    routes = [stream, {**batch, "Name": "first", "Prefix": "/b1/"}]
    if has_new_route:
        routes.append({**batch, "Name": "second", "Prefix": "/b2/"})
    return routes


async def case(deployment):
    for zone in "abc":
        await deployment.add_replica(zone=zone, slots=8, interval=0.02)
    await deployment.configure(
        build_routes(timeout_ms=5000, has_new_route=False)
    )
    front = deployment.add_gateway("front-a", "front", "a")
    deployment.add_gateway("front-b", "front", "b")
    for zone in "abc":
        deployment.add_gateway(f"store-{zone}", "worker", zone)
    await deployment.wait_ready()

    frozen = deployment.gateways["store-c"]
    if deployment.has_trouble:
        deployment.record("freeze", machine=frozen.name)
        frozen.freeze()
    frozen_at = asyncio.get_running_loop().time()
    await asyncio.sleep(1.2)
    await deployment.configure(
        build_routes(timeout_ms=4800, has_new_route=False)
    )
    await asyncio.sleep(CHANGE_GAP_S)
    await deployment.configure(
        build_routes(timeout_ms=4800, has_new_route=True)
    )
    items = [
        (f"{number:02x}{secrets.token_hex(7)}", f"/b2/x/{number}", EVENTS)
        for number in range(ITEMS)
    ]
    job = None
    for _ in range(20):
        job, answer = await deployment.submit_job(
            front, "/b2/lot", items, job=job
        )
        if answer.status == 202:
            break
        await asyncio.sleep(0.2)
    loop = asyncio.get_running_loop()
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - loop.time()))
    if deployment.has_trouble:
        deployment.record("wake", machine=frozen.name)
        frozen.wake()
    results = await deployment.read_results(front, job, ITEMS, seconds=40)
    given_up = [
        row["Id"] for row in results.values() if row["State"] != "done"
    ]
    wrong = [
        name
        for name, path, count in items
        if name in results
        and results[name]["State"] == "done"
        and results[name]["Output"] != build_output(path, count)
    ]
    missing = ITEMS - len(results)
    deployment.record(
        "summary", given_up=len(given_up), wrong=len(wrong), missing=missing
    )
    for line in frozen.read_log("item:given_up")[:3]:
        deployment.record("log", machine=frozen.name, line=line)
    if given_up:
        deployment.note_broken(
            f"MIXED: {len(given_up)} of {ITEMS} items are dead_letter; no "
            "replica has failed one, and neither the job nor its route ended"
        )
    if wrong:
        deployment.note_broken(f"MIXED: {len(wrong)} outputs are wrong")


if __name__ == "__main__":
    sys.exit(
        run_case(
            Path(__file__).resolve().parent,
            case,
            has_trouble=os.environ.get("TROUBLE", "1") != "0",
        )
    )
