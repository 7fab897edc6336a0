"""Figures of a simulated run."""

import math

from .targets import FIRST_EVENT_TARGET_S
from .targets import MAX_EVENT_PAUSE_S

__all__ = ["compute_figures", "find_quantile"]

# Requests from which on the served share of a workspace tells something.
MIN_REQUESTS_OF_WORKSPACE = 10


def find_quantile(values, share):
    """Return a quantile by nearest rank, or None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def compute_figures(fleet):
    """Return the figures of a run as its clients observed it.

    Parameters
    ----------
    fleet : FleetModel

    Returns
    -------
    dict
        Shares from 0 to 1; times in seconds.
    """
    requests = fleet.requests
    first_event_delays = [
        request.first_event_at - request.arrived_at
        for request in requests
        if request.first_event_at is not None
    ]
    answered = [each for each in requests if each.end_reason == "answered"]
    timely = [
        request
        for request in requests
        if is_timely(request, since=request.arrived_at)
    ]
    items = fleet.items
    in_time = [
        item
        for item in items
        if item.finished_at is not None and item.finished_at <= item.due
    ]
    runners = [gateway.batch for gateway in fleet.list_workers()]
    load_errors = [abs(error) for error in fleet.load_errors]
    return {
        "requests": len(requests),
        "timely": share(len(timely), len(requests)),
        "answered": share(len(answered), len(requests)),
        "refused": sum(each.end_reason == "refused" for each in requests),
        "first_p50": round_time(find_quantile(first_event_delays, 0.5)),
        "first_p99": round_time(find_quantile(first_event_delays, 0.99)),
        "moved": sum(each.sends > 1 for each in requests),
        "items": len(items),
        "items_in_time": share(len(in_time), len(items)),
        "items_run_again": sum(item.runs > 1 for item in items),
        "preemptions": sum(runner.preemptions for runner in runners),
        "short_runs": sum(runner.short_runs for runner in runners),
        "error_p50": find_quantile(load_errors, 0.5),
        "error_p99": find_quantile(load_errors, 0.99),
        "messages": fleet.messages,
        "large_answered": compute_large_share(requests),
        **compute_workspace_figures(fleet, requests),
        "restarted_share": compute_restarted_share(fleet),
    }


def is_timely(request, *, since):
    """Return whether an answer has begun and gone on in time."""
    return (
        request.end_reason == "answered"
        and request.first_event_at - since <= FIRST_EVENT_TARGET_S
        and request.longest_pause <= MAX_EVENT_PAUSE_S
    )


def compute_workspace_figures(fleet, requests):
    """Return how the workspaces were served, nothing without any.

    Parameters
    ----------
    fleet : FleetModel
    requests : list of RequestState

    Returns
    -------
    dict
        Share of requests that were served in time after a refusal; lowest
        served share of a workspace with some requests, relative to that of
        all; shares served in time and at all to workspaces within their
        usual, and to the others.
    """
    if fleet.workspaces is None:
        return {}
    groups = {}
    for request in requests:
        groups.setdefault(request.arrival.workspace, []).append(request)
    served = {
        name: sum(each.end_reason == "answered" for each in group) / len(group)
        for name, group in groups.items()
        if len(group) >= MIN_REQUESTS_OF_WORKSPACE
    }
    all_served = sum(each.end_reason == "answered" for each in requests)
    figures = {
        "returned_timely": share(
            sum(
                each.returned_at is not None
                and is_timely(each, since=each.returned_at)
                for each in requests
            ),
            len(requests),
        ),
        "worst_workspace": round(
            min(served.values()) * len(requests) / all_served, 4
        ),
    }
    for name, is_flooding in (("usual", False), ("flooding", True)):
        group = [
            each
            for each in requests
            if (each.arrival.workspace in fleet.flooding) == is_flooding
        ]
        timely = sum(is_timely(each, since=each.arrived_at) for each in group)
        answered = sum(each.end_reason == "answered" for each in group)
        figures[f"{name}_timely"] = share(timely, len(group))
        figures[f"{name}_answered"] = share(answered, len(group))
    return figures


def compute_large_share(requests):
    """Return the answered share of the largest requests, relative to all.

    Parameters
    ----------
    requests : list of RequestState

    Returns
    -------
    float or None
        Answered share of the largest tenth of the requests, by tokens,
        divided by the answered share of all requests.
    """

    def count(group):
        return sum(each.end_reason == "answered" for each in group)

    ordered = sorted(requests, key=lambda each: each.arrival.tokens)
    largest = ordered[-max(1, len(ordered) // 10) :]
    if not count(ordered):
        return None
    ratio = count(largest) / len(largest) / (count(ordered) / len(ordered))
    return round(ratio, 4)


def compute_restarted_share(fleet):
    """Return the mean work of the engines that started, against the others.

    Parameters
    ----------
    fleet : FleetModel

    Returns
    -------
    float or None
        Tokens a second since the start; None without such engines.
    """

    def compute_rate(engines):
        rates = [
            engine.generated / max(1.0, fleet.clock.now - engine.started_at)
            for engine in engines
        ]
        return sum(rates) / len(rates)

    live = [each for each in fleet.engines.values() if not each.is_lost]
    started = [each for each in live if each.started_at]
    if not started:
        return None
    others = [each for each in live if not each.started_at]
    return round(compute_rate(started) / compute_rate(others), 4)


def share(part, whole):
    return round(part / whole, 4) if whole else None


def round_time(seconds):
    return None if seconds is None else round(seconds, 4)
