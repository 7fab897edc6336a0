"""Reports that are summed over the live daemons."""

import time

from hollyspan_core.errors import InvalidRequestError

from ..burn import build_report
from .configuration import get_current
from .fleet import ask_fleet
from .fleet import list_others

__all__ = ["count_statistics", "report_burn"]


async def report_burn(runtime, *, window=None):
    """Return the service-level burn of the fleet.

    Parameters
    ----------
    runtime : Runtime
    window : int, optional
        Only this window, seconds.

    Returns
    -------
    dict
        ``rows``, see `build_report`, and ``missing``, the instances that
        are not in the sums.
    """
    others = list_others(runtime, now=time.monotonic())
    answers = await ask_fleet(runtime, others, kind="burn")
    summaries = [runtime.burn.summarise(), *answers.documents.values()]
    configuration = get_current(runtime)
    rows = build_report(
        summaries, objectives=configuration.document["objectives"]
    )
    known = {row["window_s"] for row in rows}
    if window is not None and known and window not in known:
        raise InvalidRequestError(
            f"window must be one of {sorted(known)}", param="window"
        )
    return {
        "rows": [r for r in rows if window in (None, r["window_s"])],
        "missing": answers.missing,
    }


async def count_statistics(runtime):
    """Return the counts of calls and traffic of the fleet.

    Parameters
    ----------
    runtime : Runtime

    Returns
    -------
    dict
        ``store_calls`` and ``peers`` summed, and ``missing``.
    """
    others = list_others(runtime, now=time.monotonic())
    answers = await ask_fleet(runtime, others, kind="statistics")
    documents = [describe_statistics(runtime), *answers.documents.values()]
    return {
        "daemons": len(documents),
        "store_calls": add_up(d["store_calls"] for d in documents),
        "peers": add_up(d["peers"] for d in documents),
        "missing": answers.missing,
    }


def describe_statistics(runtime):
    """Return the counts of this daemon as a JSON object.

    Parameters
    ----------
    runtime : Runtime

    Returns
    -------
    dict
    """
    counts = runtime.peer_counters.to_json()
    counts.pop("forwarded")
    return {"store_calls": dict(runtime.store.calls), "peers": counts}


def add_up(counts):
    sums = {}
    for count in counts:
        for name, value in count.items():
            sums[name] = sums.get(name, 0) + value
    return sums
