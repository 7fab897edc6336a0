"""Reports for operators."""

from ..client import run_calls
from ..connection import read_connection
from ..output import format_table
from ..output import print_result
from ..plots import plot_burn

__all__ = ["report_burn"]


def report_burn(plot=None, url=None, operator_key=None, json=False):
    """Report how fast the service-level budgets are used up.

    Sums over the live daemons; those missing from the sum are named. A
    burn rate of 1 uses the whole budget up exactly within its window.

    Parameters
    ----------
    plot : str
        Write the report as a plot to this PNG file too.
    url : str
        Base URL of a daemon; else HOLLYSPAN_URL.
    operator_key : str
        The operators' key; else HOLLYSPAN_KEY.
    json : bool
        Print JSON, for programs.
    """

    async def read(caller):
        return await caller.get("burn")

    result = run_calls(read, **read_connection(url=url, key=operator_key))
    if plot is not None:
        plot_burn(result, path=plot)
    print_result(result, as_json=json, describe=describe_burn)


def describe_burn(report):
    headings = [
        "objective",
        "service",
        "data_centre",
        "window_s",
        "good",
        "total",
        "target",
        "budget_left",
        "burn_rate",
    ]
    rows = [[row[name] for name in headings] for row in report["rows"]]
    text = format_table(headings, rows)
    if report["missing"]:
        missing = ", ".join(report["missing"])
        return f"{text}\n\nmissing from the sum: {missing}"
    return f"{text}\n\nall live daemons are in the sum"
