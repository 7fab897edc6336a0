"""Compare how batch work yields to online work under several policies.

Run as ``python -m benchmarks.yielding --scenario trust``.
"""

import argparse
import json
from pathlib import Path

from .plot import plot_report
from .report import build_report
from .report import summarize_run
from .run import run_variant
from .scenario import SCENARIOS
from .variant import list_curve
from .variant import list_variants

RESULTS = Path(__file__).parent / "results"
SHOWN_FIGURES = (
    "first_token_ms_p50",
    "first_token_ms_p95",
    "first_token_ms_p99",
    "between_tokens_ms_p95",
    "free_share_used",
    "redone_share",
    "refused_share",
    "deadlines_missed",
)


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--scenario", choices=sorted(SCENARIOS), default="trust"
    )
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument(
        "--variants", nargs="+", help="run only these variants"
    )
    parser.add_argument("--curve", action="store_true")
    parser.add_argument("--name", help="name of the result files")
    return parser.parse_args()


def choose_variants(options):
    """Return the variants that the options select."""
    variants = list_variants()
    if options.curve:
        variants += list_curve()
    if options.variants:
        names = ("none", *options.variants)
        variants = [
            variant
            for variant in list_variants() + list_curve()
            if variant.name in names
        ]
    return variants


def main():
    """Run all variants with all seeds, then write report and plot."""
    options = parse_options()
    scenario = SCENARIOS[options.scenario]
    runs = []
    for seed in options.seeds:
        for variant in choose_variants(options):
            figures = run_variant(
                scenario, variant, seed=seed, seconds=options.seconds
            )
            run = {"variant": variant.name, "seed": seed}
            run.update(summarize_run(figures))
            runs.append(run)
            shown = " ".join(
                f"{name}={run[name]:.4g}" for name in SHOWN_FIGURES
            )
            print(f"{variant.name} seed={seed} {shown}", flush=True)
    report = build_report(runs)
    report["seconds"] = options.seconds
    name = options.name or f"yielding-{options.scenario}"
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{name}.json"
    path.write_text(json.dumps(report, indent=1) + "\n", encoding="utf-8")
    plot_report(report, RESULTS / f"{name}.png", title=name)


if __name__ == "__main__":
    main()
