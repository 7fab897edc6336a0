"""Comparison of the engine model with measured engines.

Reads gateways' logs. The line of each answer has the load that its upstream
reported and the time to the first event. The same figures are computed from
a run of the model with waves of requests.
"""

import statistics

import fire

from hollyspan_standins.model import build_pattern
from hollyspan_standins.model import FleetLayout
from hollyspan_standins.model import POLICIES
from hollyspan_standins.model import run_fleet

from .gateway_logs import read_lines
from .gateway_logs import write_figures

__all__ = ["compare_engines", "group_answers", "group_requests"]

ANSWERED = "request:answered"
# Minimum number of answers at a load for a meaningful mean.
MIN_ANSWERS = 10
DATA_CENTRES = ["attiki-a", "makedonia-a", "kriti-a"]


def main(*paths, rate=38.0, seconds=29.0, seeds=2, output=None):
    """Print the comparison as JSON.

    Parameters
    ----------
    paths : str
        Log files; standard input without any.
    rate : float, optional
        Mean online requests per second in each data centre of the model.
    seconds : float, optional
        Duration of a run of the model.
    seeds : int, optional
        Number of runs of the model.
    output : str, optional
        File to which the comparison is also written.
    """
    answers = group_answers(read_lines(paths))
    requests = []
    for seed in range(1, seeds + 1):
        requests += run_model(rate=rate, seconds=seconds, seed=seed)
    write_figures(compare_engines(answers, group_requests(requests)), output)


def run_model(*, rate, seconds, seed):
    fleet = run_fleet(
        layout=FleetLayout(
            data_centres=DATA_CENTRES, engines=6, fronts=2, workers=1
        ),
        policy=POLICIES["chosen"],
        pattern=build_pattern(
            "wave",
            seed=seed,
            seconds=seconds,
            rate=rate,
            data_centres=DATA_CENTRES,
            jobs=16,
        ),
        seed=seed,
    )
    return fleet.requests


def group_answers(lines):
    """Group the answers in logs by the load that the upstream reported.

    Parameters
    ----------
    lines : iterable of LogLine

    Returns
    -------
    dict
        Lists of (seconds to the first event, seconds from it to the last) by
        numbers of running and waiting requests.
    """
    groups = {}
    for line in lines:
        fields = line.fields
        if line.kind != ANSWERED or not fields.get("reported"):
            continue
        if fields.get("first_event") is None or fields["sends"] != 1:
            continue
        load = tuple(fields["reported"][:2])
        first = fields["first_event"]
        groups.setdefault(load, []).append((first, fields["seconds"] - first))
    return groups


def group_requests(requests):
    """Group the answered requests of the model like `group_answers`.

    Parameters
    ----------
    requests : iterable of RequestState

    Returns
    -------
    dict
    """
    groups = {}
    for request in requests:
        if request.end_reason == "answered" and request.sends == 1:
            times = (
                request.first_event_at - request.sent_at,
                request.last_event_at - request.first_event_at,
            )
            groups.setdefault(request.reported_load, []).append(times)
    return groups


def compare_engines(measured, modelled):
    """Return statistics of both by load, where both have enough answers.

    Parameters
    ----------
    measured, modelled : dict
        See `group_answers`.

    Returns
    -------
    list of dict
    """
    return [
        {
            "running": load[0],
            "waiting": load[1],
            "measured": summarize(measured[load]),
            "model": summarize(modelled[load]),
        }
        for load in sorted(measured.keys() & modelled.keys())
        if min(len(measured[load]), len(modelled[load])) >= MIN_ANSWERS
    ]


def summarize(times):
    first_event_times, remaining_times = zip(*times)
    return {
        "answers": len(times),
        "first_mean": round(statistics.mean(first_event_times), 4),
        "first_median": round(statistics.median(first_event_times), 4),
        "rest_median": round(statistics.median(remaining_times), 4),
    }


if __name__ == "__main__":
    fire.Fire(main)
