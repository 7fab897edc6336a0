"""Plot of the burn rate report."""

from ..errors import PlotLibraryMissingError

__all__ = ["plot_burn"]


def plot_burn(report, *, path):
    """Write a bar chart of the burn rates.

    Parameters
    ----------
    report : dict
        Report of a daemon; its ``rows`` contain objective, service, data
        centre, window in seconds and burn rate.
    path : str
        PNG file to write.

    Raises
    ------
    PlotLibraryMissingError
        matplotlib is not installed.
    """
    try:
        from matplotlib import figure
    except ImportError as error:
        raise PlotLibraryMissingError("matplotlib is not installed") from error
    rows = report["rows"]
    chart = figure.Figure(figsize=(9, 1.5 + 0.3 * len(rows)))
    axes = chart.add_subplot()
    labels = [
        f"{r['objective']} {r['service']} {r['data_centre']}"
        f" {r['window_s']:g} s"
        for r in rows
    ]
    axes.barh(labels, [row["burn_rate"] or 0 for row in rows])
    axes.axvline(1, color="black", linewidth=0.8)
    axes.set_xlabel("burn rate (at 1 the budget is used up within the window)")
    chart.tight_layout()
    chart.savefig(path)
