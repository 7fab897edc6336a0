"""Check for work that was sent too late."""

from .violation import Violation

__all__ = ["find_late_dispatches"]


def find_late_dispatches(records, time, *, upstream=None, key_prefix=""):
    """Find work that was sent to upstreams after a given time.

    Parameters
    ----------
    records : iterable of dict
    time : float
        Seconds since the epoch.
    upstream : str, optional
        Name of an engine or service; others are ignored.
    key_prefix : str
        Prefix of the keys to check, such as ``"JOB/"`` for a cancelled job.

    Returns
    -------
    list of Violation

    Notes
    -----
    A start counts even if the upstream refused it. A resume counts only if
    the stream was admitted again, not if it was still running.
    """
    violations = []
    for record in records:
        if record["time"] <= time or not is_dispatch(record):
            continue
        name = get_upstream_name(record)
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
    """Return whether a record is of new work at the upstream."""
    if record["event"] == "resumed":
        return record["readmitted"]
    return record["event"] in ("received", "refused")


def get_upstream_name(record):
    """Return the name of the upstream that wrote a record."""
    return record.get("engine") or record.get("service")
