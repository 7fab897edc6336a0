"""Program of one replica; the caller registers it.

Prints its port, and then one line for each run that it begins or ends.
"""

import argparse
import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.replica import build_event  # noqa: E402
from standins.replica import Replica  # noqa: E402

# Share of the answers without a length; they are among the long ones.
UNDELIMITED_SHARE = 0.03
LONG_EVENTS = 50


class Counts:
    """Number of answers, and of those without a length."""

    begun = 0
    undelimited = 0


async def answer(run, writer, count):
    """Answer some runs without a length, so that their connection ends them.

    Return None for the usual answer.
    """
    Counts.begun += 1
    if (
        count < LONG_EVENTS
        or Counts.undelimited + 1 > UNDELIMITED_SHARE * Counts.begun
    ):
        return None
    Counts.undelimited += 1
    run.replica.record(
        "undelimited",
        id=run.identifier,
        number=Counts.undelimited,
        of=Counts.begun,
    )
    first = int(run.headers.get("last-event-id") or 0) + 1
    run.replica.begin_stream(run, writer, framing=False)
    for number in range(first, count + 1):
        await asyncio.sleep(run.replica.interval)
        writer.write(build_event(run.target, number))
        run.events = number
        await writer.drain()
    run.replica.record("ran", id=run.identifier, events=count)
    return False


def record(event, **fields):
    values = " ".join(f"{key}={value}" for key, value in fields.items())
    print(event, values, flush=True)


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--slots", type=int, required=True)
    parser.add_argument("--interval", type=float, required=True)
    options = parser.parse_args()
    replica = Replica(
        store=None,
        record=record,
        zone="",
        slots=options.slots,
        interval=options.interval,
        behave=answer,
    )
    replica.name = options.name
    await replica.listen(options.host)
    print(replica.address[1], flush=True)
    # Ends with the program that has started it.
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, sys.stdin.read)


asyncio.run(main())
