"""Events before a wrong one are lost when the stream moves on."""

import asyncio
import os
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.deployment import HOST  # noqa: E402
from standins.deployment import run_case  # noqa: E402
from standins.replica import build_event  # noqa: E402

CLIENTS = 30
EVENTS = 27
GOOD_EVENTS = 4
# Wrong bytes of dala-span: from a share of 0.6 of the replicas, in a share of
# 0.03 of their answers, for 5 s.
REPLICAS = 5
GARBLING = 3
GARBLED_SHARE = 0.03
GARBLING_S = 5.0


def build_routes():
    return [
        {
            "Name": "online",
            "Host": HOST,
            "Prefix": "/s/",
            "Service": "m",
            "Kind": "stream",
            "Resumable": True,
            "Sticky": True,
            "MaxAttempts": 2,
            "TimeoutMs": 5000,
            "TargetLatencyMs": 300,
            "GapTargetMs": 400,
            "Priority": 0,
        }
    ]


def build_wrong_behaviour(deployment):
    """Return what a replica that hands out wrong bytes does."""
    answers = garbled = 0

    async def behave(run, writer, count):
        nonlocal answers, garbled
        answers += deployment.is_garbling
        if (
            not deployment.is_garbling
            or run.headers.get("last-event-id")
            or garbled + 1 > GARBLED_SHARE * answers
        ):
            return None
        garbled += 1
        run.replica.begin_stream(run, writer)
        for number in range(1, GOOD_EVENTS + 1):
            await asyncio.sleep(run.replica.interval)
            run.replica.write_chunk(writer, build_event(run.target, number))
        await asyncio.sleep(run.replica.interval)
        # Two events that are ready together, then wrong bytes.
        good = b"".join(
            build_event(run.target, GOOD_EVENTS + number) for number in (1, 2)
        )
        wrong = b"id: \xf3\x9a7\ndata: \xff\xfe\x81\n\n"
        run.replica.write_chunk(writer, good + wrong)
        deployment.record("garbled", id=run.identifier, of=answers)
        await writer.drain()
        await asyncio.sleep(0.2)
        run.replica.reset(writer)
        return False

    return behave


async def send_all_day(deployment, front, number, state):
    loop = asyncio.get_running_loop()
    count = 0
    while loop.time() < state["until"]:
        count += 1
        path = f"/s/{number:02x}/{count}"
        answer = await deployment.send_stream(front, path, EVENTS)
        whole = b"".join(build_event(path, n) for n in range(1, EVENTS + 1))
        state["sent"] += 1
        if answer.status == 200 and answer.is_whole and answer.body != whole:
            ids = [
                line.removeprefix(b"id: ").decode()
                for line in answer.body.split(b"\n")
                if line.startswith(b"id:")
            ]
            deployment.record("hole", path=path, ids=",".join(ids))
            state["holes"] += 1


async def case(deployment):
    deployment.is_garbling = False
    for number in range(REPLICAS):
        behave = None
        if number < GARBLING:
            behave = build_wrong_behaviour(deployment)
        await deployment.add_replica(
            zone="abc"[number % 3], slots=8, behave=behave
        )
    await deployment.configure(build_routes())
    fronts = [
        deployment.add_gateway(f"front-{zone}", "front", zone) for zone in "ab"
    ]
    deployment.add_gateway("store-a", "worker", "a")
    await deployment.wait_ready()
    loop = asyncio.get_running_loop()
    deployment.is_garbling = deployment.has_trouble
    state = {"until": loop.time() + GARBLING_S, "sent": 0, "holes": 0}
    await asyncio.gather(
        *(
            send_all_day(deployment, fronts[number % 2], number, state)
            for number in range(CLIENTS)
        )
    )
    holes = state["holes"]
    deployment.record("summary", sent=state["sent"], holes=holes)
    if holes:
        deployment.note_broken(
            f"ORDER: {holes} of {state['sent']} streams end as complete and "
            "lack events"
        )


if __name__ == "__main__":
    sys.exit(
        run_case(
            Path(__file__).resolve().parent,
            case,
            has_trouble=os.environ.get("TROUBLE", "1") != "0",
        )
    )
