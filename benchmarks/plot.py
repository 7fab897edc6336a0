"""Plot of the main figures of a report."""

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

__all__ = ["plot_report"]

PANELS = (
    ("first_token_ms_p99", "first token, p99 (ms)"),
    ("p99_ratio", "p99 over p99 without batch"),
    ("free_share_used", "share of free slot time used by batch"),
    ("between_tokens_ms_p95", "between tokens, p95 (ms)"),
)
TARGETS = {
    "p99_ratio": 1.10,
    "free_share_used": 0.85,
    "between_tokens_ms_p95": 41.0,
}
DOTS_PER_INCH = 80


def plot_report(report, path, *, title):
    """Plot the main figures and their ranges by variant.

    Parameters
    ----------
    report : dict
        See `build_report`.
    path : path
    title : str
    """
    figure, axes = pyplot.subplots(2, 2, figsize=(11, 7))
    for axis, (name, label) in zip(axes.flat, PANELS):
        draw_panel(axis, report["variants"], name, label)
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def draw_panel(axis, variants, name, label):
    names = [n for n, v in variants.items() if name in v["figures"]]
    figures = [variants[n]["figures"][name] for n in names]
    medians = [figure["median"] for figure in figures]
    below_median = [f["median"] - f["least"] for f in figures]
    above_median = [f["greatest"] - f["median"] for f in figures]
    positions = range(len(names))
    axis.bar(positions, medians, yerr=[below_median, above_median], capsize=3)
    axis.set_xticks(positions, names, rotation=30, ha="right", fontsize=8)
    axis.set_title(label, fontsize=9)
    if name in TARGETS:
        axis.axhline(TARGETS[name], color="black", linestyle="--")
