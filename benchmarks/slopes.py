"""Cost of each item, chunk, open job, workspace and configuration change.

Each axis is measured at three sizes or more while the others stay fixed; the
slope is that of the least-squares line.
"""

import argparse
import json
from pathlib import Path
import statistics
import sys
import time
import tracemalloc

import psutil

from hollyspan_core.configuration import parse_configuration
from hollyspan_standins.caller import build_items
from hollyspan_standins.caller import Caller
from hollyspan_standins.caller import Operator
from hollyspan_standins.caller import submit_batch
from hollyspan_standins.caller import wait_batch
from hollyspan_standins.deployment import build_configuration
from hollyspan_standins.deployment import build_layouts
from hollyspan_standins.deployment import open_deployment

MODEL = "pips-lm"
CALLER_KEY = "dev-key"
MAX_TOKENS = 4
SLOTS = 32
FAST_ENGINE_OPTIONS = ("--speed", "10")
JOB_TIMEOUT_S = 120.0
IDLE_WINDOW_S = 10.0
SETTLE_TIME_S = 3.0
POLL_INTERVAL_S = 0.02
IN_FORCE_TIMEOUT_S = 12.0
MICROSECONDS_PER_SECOND = 1_000_000


def main():
    """Run the measurements and write their results as JSON."""
    options = read_options()
    result = {}
    for axis in options.axes.split(","):
        result[axis] = MEASUREMENTS[axis](options)
        print(axis, json.dumps(result[axis]), file=sys.stderr, flush=True)
    text = json.dumps(result, indent=2)
    print(text)
    if options.output:
        Path(options.output).write_text(text + "\n", encoding="utf-8")


def read_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--axes", default=",".join(MEASUREMENTS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", metavar="PATH")
    return parser.parse_args()


def measure_items(options):
    """Measure jobs of several sizes with chunks of one size."""
    points = [
        measure_job(options, items=items, chunk_items=100)
        for items in (500, 1000, 2000, 4000)
    ]
    return fit_points(points, axis="items")


def measure_chunks(options):
    """Measure jobs of one size in chunks of several sizes."""
    points = [
        measure_job(options, items=1000, chunk_items=chunk_items)
        for chunk_items in (25, 50, 100, 200)
    ]
    return fit_points(points, axis="chunks")


def measure_job(options, *, items, chunk_items):
    """Run one job and return its CPU time and store calls."""
    configuration = build_configuration(
        model=MODEL,
        services=(),
        slots=SLOTS,
        batch={"chunk_items": chunk_items},
        workspace={"requests_per_second": 10000},
    )
    with open_deployment(
        layouts=build_layouts("attiki", services=()),
        slots=SLOTS,
        engine_options=FAST_ENGINE_OPTIONS,
        configuration=configuration,
        seed=options.seed,
    ) as deployment:
        caller = Caller(
            url=deployment.url(deployment.daemon_names[0]), key=CALLER_KEY
        )
        meter = Meter(deployment=deployment)
        prompts = {f"item-{i}": f"note {i}" for i in range(items)}
        content = build_items(prompts, model=MODEL, max_tokens=MAX_TOKENS)
        started_at = time.monotonic()
        batch = submit_batch(caller, content)
        wait_batch(caller, batch["id"], seconds=JOB_TIMEOUT_S)
        return {
            "items": items,
            "chunks": -(-items // chunk_items),
            "seconds": time.monotonic() - started_at,
            **meter.read(),
        }


class Meter:
    """Measures the CPU time of daemons and the calls to the store.

    Parameters
    ----------
    deployment : Deployment
    """

    def __init__(self, *, deployment):
        self.deployment = deployment
        self.start = self.read_totals()

    def read(self):
        """Return the usage since the start."""
        now = self.read_totals()
        return {name: now[name] - self.start.get(name, 0) for name in now}

    def read_totals(self):
        totals = {"cpu_seconds": 0.0}
        for name in self.deployment.daemon_names:
            child = self.deployment.find(name).child
            times = psutil.Process(child.pid).cpu_times()
            totals["cpu_seconds"] += times.user + times.system
        counts = self.deployment.fetch_store_calls()
        for kind, count in flatten(counts):
            totals[f"store_{kind}"] = count
        return totals


def flatten(counts):
    """Yield the numbers of a nested document with their joined names."""
    for name, value in counts.items():
        if isinstance(value, dict):
            for inner, number in flatten(value):
                yield f"{name}_{inner}", number
        elif isinstance(value, int | float):
            yield name, value


def measure_open_jobs(options):
    """Measure the calls caused by open jobs while no item can run."""
    points = [
        measure_idle(options, jobs=jobs, daemons=2) for jobs in (0, 10, 20, 40)
    ]
    return fit_points(points, axis="jobs")


def measure_daemons(options):
    """Measure the calls caused by each daemon of a data centre."""
    points = [
        measure_idle(options, jobs=10, daemons=daemons)
        for daemons in (1, 2, 4, 8)
    ]
    return fit_points(points, axis="daemons")


def measure_idle(options, *, jobs, daemons):
    """Return calls per second with open jobs and no upstream to run them."""
    layouts = build_layouts("attiki", engines=0, daemons=daemons, services=())
    configuration = build_configuration(
        model=MODEL,
        services=(),
        slots=SLOTS,
    )
    with open_deployment(
        layouts=layouts, configuration=configuration, seed=options.seed
    ) as deployment:
        caller = Caller(
            url=deployment.url(deployment.daemon_names[0]), key=CALLER_KEY
        )
        for number in range(jobs):
            content = build_items({f"item-{number}": "note"}, model=MODEL)
            submit_batch(caller, content)
        time.sleep(SETTLE_TIME_S)
        meter = Meter(deployment=deployment)
        time.sleep(IDLE_WINDOW_S)
        rates = {
            f"{name}_per_second": value / IDLE_WINDOW_S
            for name, value in meter.read().items()
        }
        return {"jobs": jobs, "daemons": daemons, **rates}


def measure_workspaces(options):
    """Measure configuration documents with the keys of many workspaces."""
    points = []
    for workspaces in (100, 1000, 4000, 8000):
        keys = {f"key-{i}": f"workspace-{i}" for i in range(workspaces)}
        document = build_configuration(
            model=MODEL, services=(), slots=SLOTS, keys=keys
        )
        content = json.dumps(document).encode()
        started_at = time.process_time()
        parse_configuration(content)
        cpu_seconds = time.process_time() - started_at
        tracemalloc.start()
        parsed = parse_configuration(content)
        allocated_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        points.append(
            {
                "workspaces": len(parsed.workspaces),
                "document_bytes": len(content),
                "parse_microseconds": cpu_seconds * MICROSECONDS_PER_SECOND,
                "memory_bytes": allocated_bytes,
            }
        )
    return fit_points(points, axis="workspaces")


def measure_changes(options):
    """Measure the time until a change is in force on all daemons."""
    points = []
    for daemons in (1, 2, 4, 8):
        layouts = build_layouts(
            "attiki", "makedonia", "kriti", engines=0, daemons=daemons
        )
        with open_deployment(layouts=layouts, seed=options.seed) as deployment:
            points.append(measure_change(deployment))
    return fit_points(points, axis="daemons")


def measure_change(deployment):
    """Apply changes one after the other and measure the time of each."""
    operator = Operator(deployment=deployment)
    time.sleep(SETTLE_TIME_S)
    meter = Meter(deployment=deployment)
    times = [time_change(operator) for _ in range(5)]
    used = meter.read()
    daemons = len(deployment.daemon_names)
    return {
        "daemons": daemons,
        "in_force_seconds_median": statistics.median(times),
        "in_force_seconds_max": max(times),
        "cpu_seconds_per_daemon_and_change": used["cpu_seconds"]
        / daemons
        / len(times),
    }


def time_change(operator):
    """Apply one change; return the seconds until all daemons show it."""
    names = operator.deployment.daemon_names
    document = operator.get(names[0], "configuration")
    started_at = time.monotonic()
    accepted = operator.post(names[0], "configuration", document)
    waiting = list(names)
    while waiting and time.monotonic() - started_at < IN_FORCE_TIMEOUT_S:
        waiting = [
            name
            for name in waiting
            if operator.get(name, "configuration")["generation"]
            < accepted["generation"]
        ]
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_at


def fit_points(points, *, axis):
    """Return the points and the least-squares line of each figure."""
    sizes = [point[axis] for point in points]
    slopes = {}
    for name in points[0]:
        if name == axis or len(set(sizes)) < 2:
            continue
        line = statistics.linear_regression(
            sizes, [point.get(name, 0) for point in points]
        )
        slopes[name] = {"each": line.slope, "fixed": line.intercept}
    return {"points": points, "slopes": slopes}


MEASUREMENTS = {
    "items": measure_items,
    "chunks": measure_chunks,
    "open_jobs": measure_open_jobs,
    "daemons": measure_daemons,
    "workspaces": measure_workspaces,
    "changes": measure_changes,
}


if __name__ == "__main__":
    main()
