"""Check for online requests that waited behind batch work."""

from .violation import Violation

__all__ = ["find_blocked_online"]

# Length of an engine step with all slots busy.
STEP_LENGTH_S = 0.01


def find_blocked_online(
    records,
    *,
    steps=1,
    step_seconds=STEP_LENGTH_S,
    notice_seconds=0.0,
    measure_processor_wait=None,
):
    """Find online requests that were queued too long while batch work ran.

    Parameters
    ----------
    records : iterable of dict
        Records of engines.
    steps : int
        Number of engine steps that a request may wait.
    step_seconds : float
        Length of a step, in seconds.
    notice_seconds : float
        Time allowed for the notice of online work to reach the upstream's
        owner, in seconds.
    measure_processor_wait : callable, optional
        Called with the name of an engine, a start and an end time; returns
        for how many seconds of that interval the processes between the
        request and the freed slot waited for a processor. This time does not
        count as waiting behind batch work, as there is none of it on an idle
        machine.

    Returns
    -------
    list of Violation

    Notes
    -----
    Waiting behind other online requests only is no violation. The set of
    running streams of an engine does not change between two of its records,
    so the records show whether batch work ran at any time.
    """
    allowance = steps * step_seconds + notice_seconds
    violations = []
    for engine, history in group_by_engine(records).items():
        for received, admitted_at in list_waits(history):
            since = received["time"] + allowance
            delay = 0.0
            if measure_processor_wait is not None:
                delay = measure_processor_wait(
                    engine, received["time"], admitted_at
                )
            since += delay
            if since >= admitted_at:
                continue
            if has_batch(history, since, admitted_at):
                waited = admitted_at - received["time"]
                violations.append(
                    Violation(
                        rule="blocked_online",
                        subject=received["key"] or received["stream"],
                        detail=f"waited {waited:.3f} s at {engine}, "
                        f"{delay:.3f} s without a processor",
                    )
                )
    return violations


def group_by_engine(records):
    """Return the records of each engine in order of time."""
    groups = {}
    for record in sorted(records, key=lambda record: record["time"]):
        if "engine" in record and "running_classes" in record:
            groups.setdefault(record["engine"], []).append(record)
    return groups


def list_waits(history):
    """Return the record and the admission time of each queued online request.

    Notes
    -----
    A request that was never admitted waited until it was cancelled, or until
    the last record.
    """
    waiting = {}
    waits = []
    for record in history:
        stream = record["stream"]
        if record["class"] != "online":
            continue
        if is_queued(record):
            waiting[stream] = record
        elif record["event"] in ("admitted", "cancelled"):
            if stream in waiting:
                waits.append((waiting.pop(stream), record["time"]))
    last = history[-1]["time"]
    waits.extend((record, last) for record in waiting.values())
    return waits


def is_queued(record):
    """Return whether a record is of a request that enters the queue."""
    if record["event"] == "resumed":
        return record["readmitted"]
    return record["event"] == "received"


def has_batch(history, since, until):
    """Return whether batch work ran in an interval of time."""
    running = False
    for record in history:
        if record["time"] >= until:
            break
        batch = record["running_classes"].get("batch", 0)
        if record["time"] <= since:
            running = batch > 0
        elif batch:
            return True
    return running
