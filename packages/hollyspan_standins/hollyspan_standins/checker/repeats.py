"""Check for non-idempotent requests that ran more than once."""

from collections import Counter

from .violation import Violation

__all__ = ["find_repeated_runs"]


def find_repeated_runs(records, *, keys=None):
    """Find keys that upstreams accepted more than once.

    Parameters
    ----------
    records : iterable of dict
        Records of all upstreams.
    keys : iterable of str, optional
        Keys that must not run more than once; all by default.

    Returns
    -------
    list of Violation

    Notes
    -----
    An upstream that refused a request has not run it.
    """
    wanted = None if keys is None else set(keys)
    counts = Counter(
        record["key"]
        for record in records
        if record["event"] == "received"
        and record["key"] is not None
        and (wanted is None or record["key"] in wanted)
    )
    return [
        Violation(rule="repeat_run", subject=key, detail=f"{count} runs")
        for key, count in sorted(counts.items())
        if count > 1
    ]
