"""Reports summed over the daemons of the fleet."""

import time

from hollyspan_core.errors import InvalidRequestError

from ..burn import build_report
from .configuration import get_current
from .fleet import list_other_daemons
from .fleet import query_fleet

__all__ = ["sum_statistics", "report_burn"]


async def report_burn(runtime, *, window=None):
    """Return the error budget burn of the fleet.

    Parameters
    ----------
    runtime : Runtime
    window : int, optional
        Return only the rows of this window, in seconds.

    Returns
    -------
    dict
        ``rows``, see `build_report`, and ``missing``, the instances that
        are not included in the sums.

    Raises
    ------
    InvalidRequestError
        There are no counters for the window.
    """
    others = list_other_daemons(runtime, now=time.monotonic())
    answers = await query_fleet(runtime, others, kind="burn")
    summaries = [runtime.burn.summarise(), *answers.documents.values()]
    configuration = get_current(runtime)
    rows = build_report(
        summaries, objectives=configuration.document["objectives"]
    )
    windows = {row["window_s"] for row in rows}
    if window is not None and windows and window not in windows:
        raise InvalidRequestError(
            f"window must be one of {sorted(windows)}", param="window"
        )
    return {
        "rows": [r for r in rows if window in (None, r["window_s"])],
        "missing": answers.missing,
    }


async def sum_statistics(runtime):
    """Sum the store calls and the peer traffic of the fleet.

    Parameters
    ----------
    runtime : Runtime

    Returns
    -------
    dict
        ``daemons``, the number of daemons in the sums; ``store_calls`` and
        ``peers``, the sums; and ``missing``, the instances that are not
        included.
    """
    others = list_other_daemons(runtime, now=time.monotonic())
    answers = await query_fleet(runtime, others, kind="statistics")
    documents = [describe_statistics(runtime), *answers.documents.values()]
    return {
        "daemons": len(documents),
        "store_calls": sum_counts(d["store_calls"] for d in documents),
        "peers": sum_counts(d["peers"] for d in documents),
        "missing": answers.missing,
    }


def describe_statistics(runtime):
    """Return the store calls and the peer traffic of this daemon.

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


def sum_counts(counts):
    sums = {}
    for count in counts:
        for name, value in count.items():
            sums[name] = sums.get(name, 0) + value
    return sums
