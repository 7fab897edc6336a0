"""Check for "not run" refusals of requests that ran."""

from .violation import Violation

__all__ = ["find_false_refusals"]


def find_false_refusals(refusals, records):
    """Find requests refused as not run that an upstream had accepted.

    Parameters
    ----------
    refusals : iterable of tuple of str and float
        Key, and time at which the caller received the refusal ``not_run``.
    records : iterable of dict
        Records of all upstreams.

    Returns
    -------
    list of Violation
    """
    starts = {}
    for record in records:
        if record["event"] == "received" and record["key"] is not None:
            starts.setdefault(record["key"], record)
    violations = []
    for key, time in refusals:
        start = starts.get(key)
        if start is not None and start["time"] <= time:
            earlier = time - start["time"]
            violations.append(
                Violation(
                    rule="false_refusal",
                    subject=key,
                    detail=f"ran {earlier:.3f} s before the refusal",
                )
            )
    return violations
