"""Compare policies under seeded load patterns in simulated time."""

import json
import sys

import fire

from .figures import compute_figures
from .fleet import FleetLayout
from .fleet import run_fleet
from .pattern import build_pattern
from .pattern import PATTERNS
from .policies import POLICIES

DATA_CENTRES = ["attiki-a", "makedonia-a", "kriti-a"]


def main(
    *,
    patterns=",".join(PATTERNS),
    policies=",".join(POLICIES),
    seeds="1,2,3",
    seconds=30.0,
    rate=32.0,
    jobs=16,
    engines=6,
    fronts=2,
    workers=1,
    output=None,
):
    """Print the figures of each pattern, policy and seed as JSON lines.

    Parameters
    ----------
    patterns, policies, seeds : str, optional
        Comma-separated names of patterns, names of policies and seeds.
    seconds : float, optional
        Length of a run, in seconds.
    rate : float, optional
        Mean online requests per second in each data centre.
    jobs : int, optional
        Number of batch jobs, of ten items each.
    engines, fronts, workers : int, optional
        Number in each of three data centres.
    output : str, optional
        File to which the lines are also written.
    """
    layout = FleetLayout(
        data_centres=DATA_CENTRES,
        engines=engines,
        fronts=fronts,
        workers=workers,
    )
    lines = []
    for name in split(patterns):
        for seed in map(int, split(seeds)):
            for policy in split(policies):
                fleet = run_fleet(
                    layout=layout,
                    policy=POLICIES[policy],
                    pattern=build_pattern(
                        name,
                        seed=seed,
                        seconds=seconds,
                        rate=rate,
                        data_centres=DATA_CENTRES,
                        jobs=jobs,
                    ),
                    seed=seed,
                )
                figures = compute_figures(fleet)
                line = {"pattern": name, "policy": policy, "seed": seed}
                lines.append(json.dumps({**line, **figures}))
                sys.stdout.write(lines[-1] + "\n")
    if output is not None:
        with open(output, "w", encoding="utf-8") as stream:
            stream.write("\n".join(lines) + "\n")


def split(names):
    if isinstance(names, (tuple, list)):
        return [str(name) for name in names]
    return str(names).split(",")


if __name__ == "__main__":
    fire.Fire(main)
