"""Error of the gateways' load estimates against the loads upstreams report.

Reads gateways' logs. The line of each answer has the load that the gateway
estimated for the upstream when it chose it, and the load that the upstream
reported with the head of the answer.
"""

import statistics

import fire

from .gateway_logs import read_lines
from .gateway_logs import write_figures

__all__ = ["compare_load_estimates", "find_quantile", "summarize_estimates"]

ANSWERED = "request:answered"
# Share of the slots in use from which an upstream counts as busy.
BUSY_SLOT_SHARE = 0.75


def main(*paths, output=None):
    """Print the figures of logs as JSON.

    Parameters
    ----------
    paths : str
        Log files; standard input without any.
    output : str, optional
        File to which the figures are also written.
    """
    write_figures(compare_load_estimates(read_lines(paths)), output)


def compare_load_estimates(lines):
    """Return the figures of all answers and of those from busy upstreams.

    Parameters
    ----------
    lines : iterable of LogLine

    Returns
    -------
    dict
    """
    estimates = [
        read_estimate(line.fields)
        for line in lines
        if line.kind == ANSWERED and line.fields.get("reported")
    ]
    busy = [estimate for estimate in estimates if estimate["is_busy"]]
    return {
        "all": summarize_estimates(estimates),
        "busy": summarize_estimates(busy),
    }


def read_estimate(fields):
    """Return the error of the estimate for one answer.

    Notes
    -----
    The report includes the request of the answer itself; the estimate does
    not. Requests that begin or end between the choice of the upstream and the
    report, about 5 to 20 ms later, count as errors too.
    """
    running, waiting, slots = fields["reported"]
    estimated = fields["online"] + fields["batch"] + fields["hidden"]
    return {
        "error": estimated - (running + waiting - 1),
        "age": fields["report_age"],
        "is_busy": running + waiting >= BUSY_SLOT_SHARE * slots,
    }


def summarize_estimates(estimates):
    """Return the number of answers and statistics of errors and ages.

    Parameters
    ----------
    estimates : list of dict

    Returns
    -------
    dict
        Errors in requests and ages of reports in seconds; empty without
        answers.
    """
    if not estimates:
        return {}
    errors = [estimate["error"] for estimate in estimates]
    ages = [
        estimate["age"]
        for estimate in estimates
        if estimate["age"] is not None
    ]
    absolute_errors = [abs(error) for error in errors]
    return {
        "answers": len(estimates),
        "error_mean": round(statistics.fmean(errors), 3),
        "error_p50": find_quantile(absolute_errors, 0.5),
        "error_p99": find_quantile(absolute_errors, 0.99),
        "exact_share": round(
            absolute_errors.count(0) / len(absolute_errors), 3
        ),
        "without_report": len(estimates) - len(ages),
        "age_p50": find_quantile(ages, 0.5),
        "age_p99": find_quantile(ages, 0.99),
    }


def find_quantile(values, share):
    """Return a quantile of values, or None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


if __name__ == "__main__":
    fire.Fire(main)
