"""Service-level burn over several daemons."""

__all__ = ["build_report"]

GROUP = ("service", "data_centre", "kind", "window_s")


def build_report(summaries, *, objectives):
    """Sum the counts of daemons and hold them against the objectives.

    Parameters
    ----------
    summaries : iterable of dict
        As returned by `Burn.summarise`.
    objectives : list of dict
        Of the configuration.

    Returns
    -------
    list of dict
        One row for each objective, service, data centre and window: good,
        total, target, the share of the budget that is left, and the burn
        rate. A rate of 1 uses the budget up exactly within the window.

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
            group = tuple(row[name] for name in GROUP)
            good, total = sums.get(group, (0, 0))
            sums[group] = good + row["good"], total + row["total"]
    return [
        describe(objective, group, good=good, total=total)
        for objective in objectives
        for group, (good, total) in sorted(sums.items())
        if group[GROUP.index("kind")] == objective["kind"]
    ]


def describe(objective, group, *, good, total):
    rate = compute_rate(good, total, target=objective["target"])
    return {
        "objective": objective["name"],
        **dict(zip(GROUP, group)),
        "good": good,
        "total": total,
        "target": objective["target"],
        "budget_left": None if rate is None else 1 - rate,
        "burn_rate": rate,
    }


def compute_rate(good, total, *, target):
    if not total:
        return None
    return (1 - good / total) / (1 - target)
