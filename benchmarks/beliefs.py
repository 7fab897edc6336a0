"""How far gateways' beliefs about load are from what upstreams tell.

Reads gateways' logs: each answer's line has what was believed of its upstream
when it was chosen, and what the upstream reported with the answer's head.
"""

import statistics

import fire

from .gatewaylogs import read_lines
from .gatewaylogs import write_figures

__all__ = ["compare_beliefs", "find_quantile", "measure_beliefs"]

ANSWERED = "request:answered"
# Share of the slots in use from which a moment counts as busy.
BUSY_SHARE = 0.75


def main(*paths, output=None):
    """Print the figures of some logs as JSON.

    Parameters
    ----------
    paths : str
        Log files; standard input without any.
    output : str, optional
        File to write to as well.
    """
    write_figures(compare_beliefs(read_lines(paths)), output)


def compare_beliefs(lines):
    """Return the figures of all answers, and of those in busy moments.

    Parameters
    ----------
    lines : iterable of LogLine

    Returns
    -------
    dict
    """
    pairs = [
        read_pair(line.fields)
        for line in lines
        if line.kind == ANSWERED and line.fields.get("reported")
    ]
    busy = [pair for pair in pairs if pair["is_busy"]]
    return {"all": measure_beliefs(pairs), "busy": measure_beliefs(busy)}


def read_pair(fields):
    """Return the belief and the report of one answer.

    Notes
    -----
    The report counts the answer's own request, which the belief did not.
    Requests that begin or end between the choice and the report, some 5 to
    20 ms later, count as an error too.
    """
    running, waiting, slots = fields["reported"]
    believed = fields["online"] + fields["batch"] + fields["hidden"]
    return {
        "error": believed - (running + waiting - 1),
        "age": fields["report_age"],
        "is_busy": running + waiting >= BUSY_SHARE * slots,
    }


def measure_beliefs(pairs):
    """Return count, signed and absolute errors and ages.

    Parameters
    ----------
    pairs : list of dict

    Returns
    -------
    dict
        Errors in requests, ages in seconds; empty without answers.
    """
    if not pairs:
        return {}
    errors = [pair["error"] for pair in pairs]
    ages = [pair["age"] for pair in pairs if pair["age"] is not None]
    sizes = [abs(error) for error in errors]
    return {
        "answers": len(pairs),
        "error_mean": round(statistics.fmean(errors), 3),
        "error_p50": find_quantile(sizes, 0.5),
        "error_p99": find_quantile(sizes, 0.99),
        "exact_share": round(sizes.count(0) / len(sizes), 3),
        "without_report": len(pairs) - len(ages),
        "age_p50": find_quantile(ages, 0.5),
        "age_p99": find_quantile(ages, 0.99),
    }


def find_quantile(values, share):
    """Return the value below which a share of all lies, None without any."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


if __name__ == "__main__":
    fire.Fire(main)
