"""Use of the engines' slots, from the engines' own records."""

import collections

__all__ = ["measure_occupancy"]

ENDS = ("finished", "cancelled", "broken")


def measure_occupancy(records, *, slots, start, end):
    """Measure how the slots of the engines were used.

    Parameters
    ----------
    records : list of dict
        Records of all engines, by time.
    slots : int
        Of all engines.
    start, end : float
        Seconds since the epoch.

    Returns
    -------
    dict
        ``free_share_used``: slot time of batch work over the slot time that
        online work left. ``redone_share``: batch tokens that were generated
        again over all batch tokens.
    """
    held = collections.Counter()
    for stream in list_stays(records):
        overlap = min(end, stream["end"]) - max(start, stream["start"])
        held[stream["class"]] += max(0.0, overlap)
    free = slots * (end - start) - held["online"]
    batch = [r for r in records if r["class"] == "batch"]
    ended = [r for r in batch if r["event"] == "cancelled"]
    generated, kept = count_tokens(batch)
    waits = measure_waits(records, start=start, end=end)
    return {
        "free_share_used": held["batch"] / free if free > 0 else 0.0,
        "online_share": held["online"] / (slots * (end - start)),
        "batch_tokens": generated,
        "batch_tokens_per_second": generated / (end - start),
        "preempted": len(ended),
        "redone_share": (generated - kept) / generated if generated else 0.0,
        "online_waits": waits,
    }


def list_stays(records):
    """List the times that streams held a slot.

    Parameters
    ----------
    records : list of dict

    Returns
    -------
    list of dict
    """
    running = {}
    stays = []
    for record in records:
        key = (record["engine"], record["stream"])
        if record["event"] == "admitted":
            running[key] = record
        elif record["event"] in ENDS and key in running:
            admitted = running.pop(key)
            stays.append(build_stay(admitted, record["time"]))
    stays += [build_stay(r, float("inf")) for r in running.values()]
    return stays


def build_stay(admitted, end):
    return {"class": admitted["class"], "start": admitted["time"], "end": end}


def count_tokens(records):
    """Count the tokens generated, and those that were of use.

    Parameters
    ----------
    records : list of dict
        Records of batch streams.

    Returns
    -------
    tuple of (int, int)
        A stream that was resumed counts once. Of several streams of one
        item only the one that came furthest is of use.
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
    """Measure how online requests waited behind batch streams.

    Parameters
    ----------
    records : list of dict
    start, end : float
        Seconds since the epoch.

    Returns
    -------
    dict
        Count of online requests, of those that waited in a queue, and the
        longest wait, seconds; the same for waits that ended while batch
        streams held slots.
    """
    admitted = [
        record
        for record in records
        if record["event"] == "admitted"
        and record["class"] == "online"
        and start <= record["time"] <= end
    ]
    behind = [
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
        "waited_behind_batch": len(behind),
        "longest_behind_batch": max(behind, default=0.0),
    }
