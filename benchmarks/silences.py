"""Cost of a gateway while sound upstreams fall silent, in simulated time.

Real gateways, clients, jobs, a store and upstreams run in one process
(`hollyspan_standins.search`). All upstreams fall silent again and again, or
one configuration follows the other, or both. The result holds the processor
time of a gateway in a simulated second, with the stand-ins, and the calls of
functions of the product, which are the same on each machine.
"""

import collections
import cProfile
import json
from pathlib import Path
import pstats
import time

import eliot
import fire

from hollyspan_standins.search.driver import seed_gateways
from hollyspan_standins.search.faults import plan_faults
from hollyspan_standins.search.scenario import Fault
from hollyspan_standins.search.scenario import JobPlan
from hollyspan_standins.search.scenario import Scenario
from hollyspan_standins.search.scenario import When
from hollyspan_standins.search.world import START_S
from hollyspan_standins.search.world import World

__all__ = ["measure"]

# Time until the load is steady.
WARM_UP_S = 2.0
SILENCE_S = 1.2
SILENCE_INTERVAL_S = 2.4
CHANGE_INTERVAL_S = 2.2
# A job of ten items for so many streams, as the users' sites have them.
STREAMS_PER_JOB = 80
ITEMS_PER_JOB = 10
EVENTS_PER_ITEM = 141
EVENTS_PER_STREAM = 20
EVENT_INTERVAL_S = 0.026
PROMPT_S = 0.1
SLOTS = 8
PRODUCT = ("hollyspan_core", "hollyspan_gateway", "hollyspan_policy")
# Functions whose times are told with all that they call.
PARTS = (
    "table.datagramReceived",
    "table.send_full",
    "load_broadcast.flush",
    "placement.build_views",
    "stalls.may_abandon",
    "held.release_next",
    "worker.start_items",
    "cut_evidence.list_expected",
)
PHASES = {
    "calm": (0.0, False),
    "changes": (0.0, True),
    "silences": (1.0, False),
    "most": (0.6, False),
    "both": (1.0, True),
}


def measure(
    *,
    phases="calm,silences,both",
    fronts=50,
    workers=8,
    upstreams=45,
    streams=275.0,
    seconds=4.8,
    seed=1,
    profile=None,
    output=None,
):
    """Print what a gateway costs, as JSON.

    Parameters
    ----------
    phases : str, optional
        Names in `PHASES`, separated by commas.
    fronts, workers, upstreams : int, optional
    streams : float, optional
        Requests a second at all fronts.
    seconds : float, optional
        Simulated time that is measured.
    seed : int, optional
    profile : int, optional
        Number of functions to print in the order of their own time; with
        0 or more, calls are counted, and processor times hold the profiler.
    output : str, optional
        File to which the figures are also written.
    """
    phases = phases if isinstance(phases, str) else ",".join(phases)
    figures = {
        "fronts": fronts,
        "workers": workers,
        "upstreams": upstreams,
        "streams": streams,
        "seconds": seconds,
        "seed": seed,
        "phases": {},
    }
    for phase in phases.split(","):
        share, has_changes = PHASES[phase]
        scenario = Scenario(
            seed=seed,
            fronts=fronts,
            workers=workers,
            upstreams=upstreams,
            slots=SLOTS,
            prompt_seconds=PROMPT_S,
            event_seconds=EVENT_INTERVAL_S,
            streams=streams,
            stream_events=EVENTS_PER_STREAM,
            stream_seconds=WARM_UP_S + seconds,
            jobs=plan_jobs(streams, until=WARM_UP_S + seconds),
            faults=plan(share, has_changes, until=seconds),
        )
        figures["phases"][phase] = play(scenario, seconds, profile=profile)
    text = json.dumps(figures, indent=2)
    print(text)
    if output is not None:
        Path(output).write_text(text + "\n")


def plan_jobs(streams, *, until):
    interval = STREAMS_PER_JOB / streams
    return [
        JobPlan(
            name=f"j{number}",
            at=number * interval,
            items=ITEMS_PER_JOB,
            events=EVENTS_PER_ITEM,
            parts=(1, 10 + number),
        )
        for number in range(int(until / interval))
    ]


def plan(share, has_changes, *, until):
    """Return the silences and changes of a run."""
    faults = []
    for number in range(int(until / SILENCE_INTERVAL_S) * bool(share)):
        faults.append(
            Fault(
                kind="silence",
                when=When(delay=WARM_UP_S + number * SILENCE_INTERVAL_S + 0.2),
                share=share,
                seconds=SILENCE_S,
                salt=number,
            )
        )
    for number in range(int(until / CHANGE_INTERVAL_S) * has_changes):
        faults.append(
            Fault(
                kind="configuration",
                when=When(delay=WARM_UP_S + number * CHANGE_INTERVAL_S + 0.1),
            )
        )
    return faults


def play(scenario, seconds, *, profile):
    """Play a scenario and return the figures of its measured time."""
    lines = collections.Counter()

    def count_line(message):
        lines[message.get("message_type", "")] += 1

    profiler = cProfile.Profile()
    eliot.add_destinations(count_line)
    try:
        with seed_gateways(scenario.seed):
            world = World(scenario=scenario)
            plan_faults(world, lambda kind, function: None)
            world.clock.run(until=START_S + WARM_UP_S)
            lines.clear()
            started = time.process_time()
            if profile is not None:
                profiler.enable()
            world.clock.run(until=START_S + WARM_UP_S + seconds)
            profiler.disable()
            spent = time.process_time() - started
    finally:
        eliot.remove_destination(count_line)
    share = seconds * (scenario.fronts + scenario.workers)
    figures = {
        "processor_seconds": round(spent / share, 5),
        "errors": len(world.errors),
        "lines": dict(lines.most_common(12)),
    }
    if profile is not None:
        stats = pstats.Stats(profiler)
        stats.sort_stats("tottime").print_stats(int(profile))
        figures.update(summarize(stats, share))
    return figures


def summarize(stats, share):
    """Return calls and own time of the product's functions for a gateway."""
    calls = collections.Counter()
    own_seconds = 0.0
    parts_seconds = {}
    for (path, _, name), (_, count, own, whole, _) in stats.stats.items():
        parts = set(Path(path).parts)
        if parts.isdisjoint(PRODUCT):
            continue
        name = f"{Path(path).stem}.{name}"
        calls[name] += count
        own_seconds += own
        if name in PARTS:
            parts_seconds[name] = round(whole / share, 5)
    return {
        "product_calls": round(calls.total() / share),
        "product_seconds": round(own_seconds / share, 5),
        "parts_seconds": parts_seconds,
        "calls": {
            name: round(count / share, 1)
            for name, count in calls.most_common(24)
        },
    }


if __name__ == "__main__":
    fire.Fire(measure)
