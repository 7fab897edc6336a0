"""Work sent later than it may be."""

from .violation import Violation

__all__ = ["find_dispatches_after"]


def find_dispatches_after(records, time, *, upstream=None, key_prefix=""):
    """Find what was sent to upstreams after a time.

    Parameters
    ----------
    records : iterable of dict
    time : float
        Seconds since the epoch.
    upstream : str, optional
        Only this engine or service.
    key_prefix : str
        Only keys that start so, such as ``"JOB/"`` for a cancelled job.

    Returns
    -------
    list of Violation

    Notes
    -----
    A start counts even if the upstream refused it. A resume counts if the
    stream was admitted anew, but not if it still ran.
    """
    violations = []
    for record in records:
        if record["time"] <= time or not is_dispatch(record):
            continue
        name = name_upstream(record)
        if upstream not in (None, name):
            continue
        key = record.get("key") or ""
        if not key.startswith(key_prefix):
            continue
        late = record["time"] - time
        violations.append(
            Violation(
                rule="late_dispatch",
                subject=key,
                detail=f"{record['event']} at {name} {late:.3f} s late",
            )
        )
    return violations


def is_dispatch(record):
    """Return whether a record is that of new work."""
    if record["event"] == "resumed":
        return record["readmitted"]
    return record["event"] in ("received", "refused")


def name_upstream(record):
    """Return the name of the upstream that wrote a record."""
    return record.get("engine") or record.get("service")
