"""Commands that print reports."""

from ..client import run_calls
from ..connection import read_connection
from ..output import format_table
from ..output import print_result
from ..plots import plot_burn

__all__ = ["report_burn"]


def report_burn(plot=None, url=None, operator_key=None, json=False):
    """Report how fast the error budgets are used up.

    The report sums the counters of the live daemons and lists the daemons
    that are missing from the sums. At a burn rate of 1 the whole budget is
    used up exactly within its window.

    Parameters
    ----------
    plot : str
        PNG file to which the report is also written as a plot.
    url : str
        Base URL of a daemon; by default HOLLYSPAN_URL.
    operator_key : str
        The operators' key; by default HOLLYSPAN_KEY.
    json : bool
        Print JSON for programs.
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
        return f"{text}\n\nmissing from the sums: {missing}"
    return f"{text}\n\nall live daemons are included in the sums"
