"""Run of one variant of a scenario."""

import json
from pathlib import Path
import subprocess
import sys
import tempfile
import time

from hollyspan_standins.deployment import build_configuration
from hollyspan_standins.deployment import open_deployment

from .jobs import check_deadlines
from .jobs import submit_jobs
from .occupancy import measure_occupancy
from .scenario import SLOTS
from .usage import list_links
from .usage import measure_usage

__all__ = ["run_variant"]

ENGINE_SPEED = 0.33
DAEMONS_PER_DATA_CENTRE = 2
LINK_DELAY_S = 0.03
WARM_UP_TIME_S = 4.0
LOAD_EXIT_TIMEOUT_S = 90.0
CHUNK_ITEMS = 50


def run_variant(scenario, variant, *, seed, seconds):
    """Run a load on a new deployment and return its measurements.

    Parameters
    ----------
    scenario : Scenario
    variant : Variant
    seed : int
        Determines arrivals, prompts and items.
    seconds : float
        Duration of the online load.

    Returns
    -------
    dict
    """
    layouts = scenario.build_layouts(daemons=DAEMONS_PER_DATA_CENTRE)
    with tempfile.TemporaryDirectory(prefix="hollyspan-") as folder:
        with open_deployment(
            layouts=layouts,
            model=scenario.model,
            proxied=("peers",),
            folder=folder,
            configuration=configure(scenario, variant, layouts),
            slots=SLOTS,
            engine_options=("--speed", str(ENGINE_SPEED)),
            seed=seed,
        ) as deployment:
            prepare_links(deployment, variant)
            figures = measure(
                deployment, scenario, variant, seed=seed, seconds=seconds
            )
        records = deployment.read_records()
    start, end = figures.pop("window")
    figures["slots"] = measure_occupancy(
        records,
        slots=SLOTS * sum(layout.engines for layout in layouts),
        start=start,
        end=end,
    )
    return figures


def configure(scenario, variant, layouts):
    """Build the configuration of a variant."""
    services = sorted({name for layout in layouts for name in layout.services})
    return build_configuration(
        model=scenario.model,
        services=services,
        slots=SLOTS,
        batch={
            "policy": variant.batch,
            "harm_weight": variant.harm_weight,
            "chunk_items": CHUNK_ITEMS,
        },
        online={"routing": variant.routing},
        workspace={"requests_per_second": 2000, "concurrent_requests": 2000},
    )


def prepare_links(deployment, variant):
    """Delay links between data centres; cut others for isolated variants."""
    between = list_links(deployment, between=True)
    deployment.set_link_faults(*between, delay_seconds=LINK_DELAY_S)
    if variant.is_isolated:
        within = list_links(deployment, between=False)
        deployment.set_link_faults(*within, cut=True)


def measure(deployment, scenario, variant, *, seed, seconds):
    """Run the load and return the measurements of the deployment."""
    submitted = {}
    if variant.batch != "none":
        submitted = submit_jobs(deployment, scenario, seed=seed)
    time.sleep(WARM_UP_TIME_S)
    before = measure_usage(deployment)
    start = time.time()
    samples = run_loads(deployment, scenario, seed=seed, seconds=seconds)
    end = start + seconds
    after = measure_usage(deployment)
    met = {}
    if submitted:
        met = check_deadlines(deployment, scenario, submitted)
    return {
        "window": (start, end),
        "samples": samples,
        "deadlines_met": met,
        "cpu_seconds": after.cpu_seconds - before.cpu_seconds,
        "memory_megabytes": after.memory_megabytes,
        "store_calls": dict(after.store_calls - before.store_calls),
        "bytes_between": after.link_bytes - before.link_bytes,
    }


def run_loads(deployment, scenario, *, seed, seconds):
    """Run two load tools, one with simultaneous bursts at all daemons.

    Each sends half of the load; the bursts of the other one start at each
    daemon independently.

    Returns
    -------
    list of dict
        One sample for each request.
    """
    rate = scenario.rate / 2 / len(deployment.daemon_names)
    children = []
    for index, together in enumerate((False, True)):
        path = deployment.folder / f"load-{index}.jsonl"
        arguments = build_arguments(
            deployment, scenario, rate=rate, seconds=seconds, path=path
        )
        arguments += ["--seed", str(2 * seed + index)]
        if together:
            arguments.append("--together")
        child = subprocess.Popen(arguments, stdout=subprocess.DEVNULL)
        children.append((child, path))
    samples = []
    for child, path in children:
        child.wait(seconds + LOAD_EXIT_TIMEOUT_S)
        samples += [json.loads(line) for line in read_lines(path)]
    return samples


def build_arguments(deployment, scenario, *, rate, seconds, path):
    """Build the command line of the load tool."""
    arguments = [sys.executable, "-m", "hollyspan_standins.load"]
    for name in deployment.daemon_names:
        arguments += ["--target", f"{name}={deployment.url(name)}"]
    arguments += ["--mix", scenario.mix, "--rate", str(rate)]
    arguments += ["--seconds", str(seconds), "--record", str(path)]
    return arguments


def read_lines(path):
    """Read the lines of a file."""
    return Path(path).read_text(encoding="utf-8").splitlines()
