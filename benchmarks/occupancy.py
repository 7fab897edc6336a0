"""Use of the engines' slots, computed from the engines' records."""

import collections

__all__ = ["measure_occupancy"]

END_EVENTS = ("finished", "cancelled", "broken")


def measure_occupancy(records, *, slots, start, end):
    """Measure how the slots of the engines were used.

    Parameters
    ----------
    records : list of dict
        Records of all engines, sorted by time.
    slots : int
        Number of slots of all engines.
    start, end : float
        Measured interval, in seconds since the epoch.

    Returns
    -------
    dict
        ``free_share_used`` is the slot time of batch work divided by the slot
        time not used by online work, ``redone_share`` the share of batch
        tokens that were generated more than once.
    """
    slot_seconds = collections.Counter()
    for stream in list_slot_intervals(records):
        overlap = min(end, stream["end"]) - max(start, stream["start"])
        slot_seconds[stream["class"]] += max(0.0, overlap)
    free = slots * (end - start) - slot_seconds["online"]
    batch = [r for r in records if r["class"] == "batch"]
    cancelled = [r for r in batch if r["event"] == "cancelled"]
    generated, kept = count_tokens(batch)
    waits = measure_waits(records, start=start, end=end)
    return {
        "free_share_used": slot_seconds["batch"] / free if free > 0 else 0.0,
        "online_share": slot_seconds["online"] / (slots * (end - start)),
        "batch_tokens": generated,
        "batch_tokens_per_second": generated / (end - start),
        "preempted": len(cancelled),
        "redone_share": (generated - kept) / generated if generated else 0.0,
        "online_waits": waits,
    }


def list_slot_intervals(records):
    """List the intervals in which streams occupied a slot.

    Parameters
    ----------
    records : list of dict

    Returns
    -------
    list of dict
    """
    running = {}
    intervals = []
    for record in records:
        key = (record["engine"], record["stream"])
        if record["event"] == "admitted":
            running[key] = record
        elif record["event"] in END_EVENTS and key in running:
            admitted = running.pop(key)
            intervals.append(build_interval(admitted, record["time"]))
    intervals += [build_interval(r, float("inf")) for r in running.values()]
    return intervals


def build_interval(admitted, end):
    return {"class": admitted["class"], "start": admitted["time"], "end": end}


def count_tokens(records):
    """Count the tokens generated and those that contribute to a result.

    Parameters
    ----------
    records : list of dict
        Records of batch streams.

    Returns
    -------
    tuple of (int, int)
        A resumed stream counts once. Of several streams of one item only the
        one with the most tokens contributes.
    """
    reached = collections.Counter()
    for record in records:
        key = (record["key"], record["engine"], record["stream"])
        reached[key] = max(reached[key], record["offset"])
    furthest = collections.Counter()
    for (item, _, _), offset in reached.items():
        furthest[item] = max(furthest[item], offset)
    return sum(reached.values()), sum(furthest.values())


def measure_waits(records, *, start, end):
    """Measure how long online requests waited behind batch streams.

    Parameters
    ----------
    records : list of dict
    start, end : float
        Seconds since the epoch.

    Returns
    -------
    dict
        Number of online requests, number of those that waited in a queue and
        the longest wait in seconds; the latter two also for waits that ended
        while batch streams occupied slots.
    """
    admitted = [
        record
        for record in records
        if record["event"] == "admitted"
        and record["class"] == "online"
        and start <= record["time"] <= end
    ]
    waits_behind_batch = [
        record["waited_seconds"]
        for record in admitted
        if record["waited_steps"] > 0
        and record["running_classes"].get("batch")
    ]
    return {
        "admitted": len(admitted),
        "waited": sum(record["waited_steps"] > 0 for record in admitted),
        "longest_wait": max(
            (record["waited_seconds"] for record in admitted), default=0.0
        ),
        "waited_behind_batch": len(waits_behind_batch),
        "longest_behind_batch": max(waits_behind_batch, default=0.0),
    }
