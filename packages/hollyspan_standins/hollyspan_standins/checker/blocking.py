"""Online requests that waited behind batch."""

from .violation import Violation

__all__ = ["find_blocked_online"]

# Length of a step of the engine with all slots busy.
STEP_SECONDS = 0.01


def find_blocked_online(
    records,
    *,
    steps=1,
    step_seconds=STEP_SECONDS,
    notice_seconds=0.0,
    measure_delay=None,
):
    """Find online requests in a queue while batch held slots for too long.

    Parameters
    ----------
    records : iterable of dict
        Records of engines.
    steps : int
        Steps that a request may wait.
    step_seconds : float
        Length of a step.
    notice_seconds : float
        Time that the notice of online work may take to the upstream's
        owner.
    measure_delay : callable, optional
        Called with an engine's name, a start and an end; returns how long the
        processes between the request and the freed slot had to wait for a
        processor then. Such time is no wait behind batch: on an idle machine
        there is none.

    Returns
    -------
    list of Violation

    Notes
    -----
    Waiting behind other online requests alone is no violation. Between two
    records of an engine what runs there does not change, so that the
    records tell whether batch ran at any time.
    """
    allowance = steps * step_seconds + notice_seconds
    violations = []
    for engine, history in group_by_engine(records).items():
        for received, admitted_at in list_waits(history):
            since = received["time"] + allowance
            delay = 0.0
            if measure_delay is not None:
                delay = measure_delay(engine, received["time"], admitted_at)
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
    """Return the records of each engine in the order of their times."""
    groups = {}
    for record in sorted(records, key=lambda record: record["time"]):
        if "engine" in record and "running_classes" in record:
            groups.setdefault(record["engine"], []).append(record)
    return groups


def list_waits(history):
    """Return the record and the time of admission of each online request.

    Notes
    -----
    One that was never admitted waited until the last record, or until it
    was cancelled.
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
    """Return whether a record is that of a request that enters the queue."""
    if record["event"] == "resumed":
        return record["readmitted"]
    return record["event"] == "received"


def has_batch(history, since, until):
    """Return whether batch ran in a span of time."""
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
