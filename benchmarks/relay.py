"""Cost of the relay from engine to caller.

Measures the CPU time that a daemon uses for each token event and the time
that it adds to the first token, compared with a client that is connected
directly to the engine in the same run.
"""

import argparse
import json
from pathlib import Path
import statistics
import time

import psutil

from hollyspan_standins.deployment import build_configuration
from hollyspan_standins.deployment import CALLER_KEY
from hollyspan_standins.deployment import DataCentreLayout
from hollyspan_standins.deployment import open_deployment

from .relay_client import run_streams

MODEL = "pips-lm"
SETTLE_TIME_S = 3.0
# Total streams of the steady load per stream in flight.
STEADY_STREAM_FACTOR = 3
# Increase of the engine's step time with each stream.
STEP_SECONDS_PER_STREAM = 0.0005
MICROSECONDS_PER_SECOND = 1_000_000
MILLISECONDS_PER_SECOND = 1_000


def main():
    """Run the measurement and write the result as JSON."""
    options = read_options()
    with open_deployment(
        layouts=[DataCentreLayout(data_centre="attiki-a", region="attiki")],
        model=MODEL,
        slots=options.streams,
        configuration=build_limits(options.streams),
        engine_options=("--step-base", str(options.step)),
        seed=options.seed,
    ) as deployment:
        time.sleep(SETTLE_TIME_S)
        result = measure(deployment, options)
    print(json.dumps(result, indent=2))
    if options.output:
        Path(options.output).write_text(json.dumps(result, indent=2) + "\n")


def read_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=50)
    parser.add_argument("--tokens", type=int, default=100)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--step", type=float, default=0.02, help="seconds")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", metavar="PATH")
    return parser.parse_args()


def build_limits(streams):
    return build_configuration(
        model=MODEL,
        services=["clock"],
        slots=streams,
        workspace={
            "requests_per_second": 10 * streams,
            "concurrent_requests": 4 * streams,
        },
    )


def measure(deployment, options):
    """Measure steady arrivals, then bursts of simultaneous streams."""
    daemon = deployment.daemon_names[0]
    process = psutil.Process(deployment.find(daemon).child.pid)
    idle_share = measure_idle(process)
    step = options.step + options.streams * STEP_SECONDS_PER_STREAM
    steady = LoadPlan(
        streams=STEADY_STREAM_FACTOR * options.streams,
        interval=options.tokens * step / options.streams,
        rounds=1,
    )
    burst = LoadPlan(
        streams=options.streams, interval=0.0, rounds=options.rounds
    )
    return {
        "streams": options.streams,
        "tokens": options.tokens,
        "seed": options.seed,
        "idle_cpu_share": round(idle_share, 4),
        "steady": run_load(deployment, options, steady, process, idle_share),
        "burst": run_load(deployment, options, burst, process, idle_share),
    }


class LoadPlan:
    """Arrivals of streams.

    Parameters
    ----------
    streams : int
        Streams in a round.
    interval : float
        Seconds between the starts of streams.
    rounds : int
    """

    __slots__ = ("streams", "interval", "rounds")

    def __init__(self, *, streams, interval, rounds):
        self.streams = streams
        self.interval = interval
        self.rounds = rounds


def run_load(deployment, options, load, process, idle_share):
    """Run rounds alternately to the engine and through the daemon."""
    engine_url = deployment.url(deployment.list_upstreams()[0])
    daemon_url = deployment.url(deployment.daemon_names[0])
    direct, relayed = [], []
    cpu_seconds = 0.0
    for number in range(load.rounds):
        direct += run_round(engine_url, options, load, number)
        before = read_cpu_seconds(process)
        started = time.monotonic()
        relayed += run_round(daemon_url, options, load, number)
        used = read_cpu_seconds(process) - before
        cpu_seconds += used - idle_share * (time.monotonic() - started)
    return summarize(load, direct, relayed, cpu_seconds=cpu_seconds)


def run_round(url, options, load, number):
    return run_streams(
        url=url,
        key=CALLER_KEY,
        model=MODEL,
        streams=load.streams,
        tokens=options.tokens,
        seed=options.seed * 1000 + number,
        interval=load.interval,
    )


def measure_idle(process):
    """Return the share of a processor that the idle daemon uses."""
    before = read_cpu_seconds(process)
    time.sleep(SETTLE_TIME_S)
    return (read_cpu_seconds(process) - before) / SETTLE_TIME_S


def read_cpu_seconds(process):
    times = process.cpu_times()
    return times.user + times.system


def summarize(load, direct, relayed, *, cpu_seconds):
    """Compute the result from the measurements of all streams."""
    events = sum(stream.events for stream in relayed)
    first = {
        "direct": [stream.first_token for stream in direct],
        "relayed": [stream.first_token for stream in relayed],
    }
    medians = {name: statistics.median(v) for name, v in first.items()}
    added = medians["relayed"] - medians["direct"]
    return {
        "requests": len(relayed),
        "events": events,
        "whole": all(s.is_complete for s in [*direct, *relayed]),
        "cpu_us_per_event": round(
            cpu_seconds / events * MICROSECONDS_PER_SECOND, 1
        ),
        "first_token_ms": {
            name: round(value * MILLISECONDS_PER_SECOND, 2)
            for name, value in medians.items()
        },
        "first_token_added_ms": round(added * MILLISECONDS_PER_SECOND, 2),
        "first_token_ratio": round(medians["relayed"] / medians["direct"], 3),
    }


if __name__ == "__main__":
    main()
