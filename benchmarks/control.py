"""Cost of the control plane: CPU time, memory and traffic of one daemon.

One real daemon runs in a fleet that this program simulates: daemons of its
own data centre (``near``), daemons of other data centres (``far``), and
engines. No request is sent. Each axis is measured at several sizes while the
others stay fixed; the slope is that of the least-squares line.
"""

import argparse
import json
from pathlib import Path
import statistics
import sys

import psutil
from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task

from hollyspan_standins.deployment import DataCentreLayout
from hollyspan_standins.deployment import open_deployment

from .fleet import Fleet

SIZES = {
    "near": (2, 10, 18, 38),
    "far": (2, 10, 20, 40),
    "upstreams": (5, 20, 50, 100),
}
FIXED = {"near": 10, "far": 10, "upstreams": 10}
SETTLE_TIME_S = 6.0
PEER_KEY = b"local-peer-key"
BYTES_PER_MEGABYTE = 1_000_000


def main():
    """Run the measurement and write the result as JSON."""
    options = read_options()
    result = {}

    async def run():
        for axis in options.axes.split(","):
            result[axis] = await measure_axis(axis, options)

    def finish(failure):
        reactor.stop()
        if failure is not None:
            failure.printTraceback(file=sys.stderr)

    reactor.callWhenRunning(
        lambda: defer.ensureDeferred(run()).addBoth(finish)
    )
    reactor.run()
    text = json.dumps(result, indent=2)
    print(text)
    if options.output:
        Path(options.output).write_text(text + "\n", encoding="utf-8")


def read_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--axes", default=",".join(SIZES))
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", metavar="PATH")
    return parser.parse_args()


async def measure_axis(axis, options):
    points = []
    for size in SIZES[axis]:
        sizes = {**FIXED, axis: size}
        figures = await measure_point(sizes, options)
        points.append({**sizes, **figures})
        print(json.dumps(points[-1]), file=sys.stderr, flush=True)
    names = [name for name in points[0] if name not in FIXED]
    return {
        "points": points,
        "slopes": {name: fit_slope(points, axis, name) for name in names},
    }


def fit_slope(points, axis, name):
    sizes = [point[axis] for point in points]
    values = [point[name] for point in points]
    line = statistics.linear_regression(sizes, values)
    return {"each": line.slope, "fixed": line.intercept}


async def measure_point(sizes, options):
    layout = DataCentreLayout(
        data_centre="attiki-a", region="attiki", engines=0
    )
    with open_deployment(
        layouts=[layout], start_daemons=False, seed=options.seed
    ) as deployment:
        (daemon,) = deployment.daemons
        fleet = Fleet(reactor=reactor, daemon=daemon, key=PEER_KEY, **sizes)
        try:
            use_instance_list_of_fleet(deployment, daemon, fleet)
            deployment.start(daemon.name, wait=False)
            process = psutil.Process(deployment.find(daemon.name).child.pid)
            await sleep(SETTLE_TIME_S)
            return await measure_window(process, fleet, options.seconds)
        finally:
            await close_fleet(fleet)


def use_instance_list_of_fleet(deployment, daemon, fleet):
    """Set the instance list in the daemon's settings to that of the fleet."""
    path = deployment.folder / f"{daemon.name}.settings.json"
    settings = json.loads(path.read_text())
    port = fleet.list_port.getHost().port
    settings["platform"]["instances"] = f"http://127.0.0.1:{port}"
    path.write_text(json.dumps(settings))


async def measure_window(process, fleet, seconds):
    before = process.cpu_times()
    bytes_before = fleet.count_bytes()
    await sleep(seconds)
    after = process.cpu_times()
    bytes_after = fleet.count_bytes()
    cpu_seconds = after.user + after.system - before.user - before.system
    rates = {
        f"{kind}_bytes_per_second": (bytes_after[kind] - count) / seconds
        for kind, count in bytes_before.items()
    }
    return {
        "cpu_share": cpu_seconds / seconds,
        "resident_megabytes": process.memory_info().rss / BYTES_PER_MEGABYTE,
        **rates,
    }


async def close_fleet(fleet):
    for loop in fleet.loops:
        loop.stop()
    for port in (fleet.list_port, fleet.engine_port, fleet.peer_port):
        await defer.maybeDeferred(port.stopListening)


def sleep(seconds):
    return task.deferLater(reactor, seconds)


if __name__ == "__main__":
    main()
