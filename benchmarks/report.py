"""Figures of all runs and comparison with their targets."""

import collections
import statistics

import numpy

__all__ = ["build_report", "summarize_run"]

PERCENTILES = (50, 95, 99)
MILLISECONDS_PER_SECOND = 1000
MAX_P99_RATIO = 1.10
MIN_FREE_SHARE_USED = 0.85
FIRST_TOKEN_TARGET_S = 1.3
MIN_IN_TIME_SHARE = 0.95
BETWEEN_TOKENS_TARGET_S = 0.041
MAX_REDONE_SHARE = 0.02


def summarize_run(figures):
    """Compute the figures of one run from its samples.

    Parameters
    ----------
    figures : dict
        See `run_variant`.

    Returns
    -------
    dict
        Figures; those with ``ms`` in their names are in milliseconds.
    """
    samples = figures["samples"]
    answered = [s for s in samples if s["first_token"] is not None]
    first = [s["first_token"] for s in answered]
    gaps = [gap for s in samples for gap in s["gaps"]]
    send_delays = [
        s["sent"] - s["due"] for s in samples if s["sent"] is not None
    ]
    refused = sum(s["status"] not in (None, 200) for s in samples)
    slots = figures["slots"]
    summary = {
        "requests": len(samples),
        "refused_share": refused / max(1, len(samples)),
        "wrong": sum(s["is_right"] is False for s in samples),
        "failures": collections.Counter(
            s["failure"] for s in samples if s["failure"]
        ),
        "in_time_share": sum(t <= FIRST_TOKEN_TARGET_S for t in first)
        / max(1, len(samples)),
        "deadlines_missed": sum(
            not met for met in figures["deadlines_met"].values()
        ),
        "cpu_seconds": round(figures["cpu_seconds"], 2),
        "memory_megabytes": round(figures["memory_megabytes"], 1),
        "bytes_between": figures["bytes_between"],
        "store_calls": figures["store_calls"],
        **{k: v for k, v in slots.items() if k != "online_waits"},
        **{f"online_{k}": v for k, v in slots["online_waits"].items()},
    }
    add_percentiles(summary, "first_token_ms", first)
    add_percentiles(summary, "between_tokens_ms", gaps)
    add_percentiles(summary, "sent_late_ms", send_delays)
    return summary


def add_percentiles(summary, name, times):
    for percentile in PERCENTILES:
        value = float("nan")
        if times:
            value = float(numpy.percentile(times, percentile))
        summary[f"{name}_p{percentile}"] = round(
            value * MILLISECONDS_PER_SECOND, 2
        )


def build_report(runs):
    """Build the report of all runs.

    Parameters
    ----------
    runs : list of dict
        Each with ``variant``, ``seed`` and the figures of `summarize_run`.

    Returns
    -------
    dict
        Median and range of each figure by variant, and whether the medians
        meet the targets.
    """
    add_ratios(runs)
    variants = {}
    for name in dict.fromkeys(run["variant"] for run in runs):
        chosen = [run for run in runs if run["variant"] == name]
        figures = summarize_variant(chosen)
        variants[name] = {
            "runs": len(chosen),
            "seeds": [run["seed"] for run in chosen],
            "figures": figures,
            "targets": check_targets(figures),
        }
    return {"variants": variants, "runs": runs}


def add_ratios(runs):
    """Add the p99 ratio to the run of the same seed without batch work."""
    name = "first_token_ms_p99"
    baselines = {r["seed"]: r[name] for r in runs if r["variant"] == "none"}
    for run in runs:
        if run["seed"] in baselines:
            run["p99_ratio"] = run[name] / baselines[run["seed"]]


def summarize_variant(runs):
    """Return median, minimum and maximum of each figure."""
    figures = {}
    for name, value in runs[0].items():
        if isinstance(value, (int, float)) and name != "seed":
            values = [run[name] for run in runs]
            figures[name] = {
                "median": statistics.median(values),
                "least": min(values),
                "greatest": max(values),
            }
    return figures


def check_targets(figures):
    """Return whether the medians meet each target."""

    def read(name, default=float("nan")):
        return figures.get(name, {}).get("median", default)

    return {
        "p99_ratio": read("p99_ratio") <= MAX_P99_RATIO,
        "free_share_used": read("free_share_used") >= MIN_FREE_SHARE_USED,
        "in_time_share": read("in_time_share") >= MIN_IN_TIME_SHARE,
        "between_tokens": read("between_tokens_ms_p95")
        <= BETWEEN_TOKENS_TARGET_S * MILLISECONDS_PER_SECOND,
        "deadlines": read("deadlines_missed") == 0,
        "redone_share": read("redone_share") < MAX_REDONE_SHARE,
    }
