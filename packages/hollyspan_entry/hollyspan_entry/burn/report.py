"""Error budget report over several daemons."""

__all__ = ["build_report"]

GROUP_FIELDS = ("service", "data_centre", "kind", "window_s")


def build_report(summaries, *, objectives):
    """Sum the counters of several daemons and compare them with objectives.

    Parameters
    ----------
    summaries : iterable of dict
        Counters of each daemon, as returned by
        `BurnCounters.summarise`.
    objectives : list of dict
        Objectives from the configuration.

    Returns
    -------
    list of dict
        One row for each objective, service, data centre and window, with the
        numbers of good and of all events, the target, the remaining share of
        the error budget and the burn rate. At a burn rate of 1 the budget is
        used up exactly within the window.

    Examples
    --------
    >>> row = {"service": "m", "data_centre": "a", "kind": "first_token",
    ...        "window_s": 3600, "good": 98, "total": 100}
    >>> objective = {"name": "o", "kind": "first_token", "target": 0.96}
    >>> report = build_report([{"rows": [row]}], objectives=[objective])
    >>> round(report[0]["burn_rate"], 6)
    0.5
    """
    sums = {}
    for summary in summaries:
        for row in summary["rows"]:
            group = tuple(row[name] for name in GROUP_FIELDS)
            good, total = sums.get(group, (0, 0))
            sums[group] = good + row["good"], total + row["total"]
    return [
        build_row(objective, group, good=good, total=total)
        for objective in objectives
        for group, (good, total) in sorted(sums.items())
        if group[GROUP_FIELDS.index("kind")] == objective["kind"]
    ]


def build_row(objective, group, *, good, total):
    rate = compute_burn_rate(good, total, target=objective["target"])
    return {
        "objective": objective["name"],
        **dict(zip(GROUP_FIELDS, group)),
        "good": good,
        "total": total,
        "target": objective["target"],
        "budget_left": None if rate is None else 1 - rate,
        "burn_rate": rate,
    }


def compute_burn_rate(good, total, *, target):
    if not total:
        return None
    return (1 - good / total) / (1 - target)
