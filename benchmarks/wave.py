"""Plot of waves of online requests and concurrent batch work.

Reads gateways' logs and counts their events by second, for which the clocks of
the gateways agree well enough.
"""

import collections

import fire
import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from .beliefs import find_quantile  # noqa: E402
from .gateway_logs import read_lines  # noqa: E402

__all__ = ["count_by_second", "plot_waves"]

ANSWERED = "request:answered"
STORED = "item:stored"
PREEMPTED = "item:preempted"
DOTS_PER_INCH = 80


def main(*paths, output):
    """Plot the events of logs by second.

    Parameters
    ----------
    paths : str
        Log files; standard input without any.
    output : str
        PNG file.
    """
    plot_waves(count_by_second(read_lines(paths)), output)


def count_by_second(lines):
    """Return the figures of each second.

    Parameters
    ----------
    lines : iterable of LogLine

    Returns
    -------
    list of dict
        ``second`` since the first answer, number of ``answers``, ``p50`` and
        ``p99`` of the time to the first event in seconds (None without an
        answer), number of ``done`` items and of ``preempted`` runs.
    """
    selected = [
        line for line in lines if line.kind in (ANSWERED, STORED, PREEMPTED)
    ]
    starts = [line.time for line in selected if line.kind == ANSWERED]
    if not starts:
        return []
    start = min(starts)
    first_event_times = collections.defaultdict(list)
    counts = collections.Counter()
    for line in selected:
        second = int(line.time - start)
        if line.kind != ANSWERED:
            counts[line.kind, second] += 1
        elif line.fields.get("first_event") is not None:
            first_event_times[second].append(line.fields["first_event"])
    last = max([second for _, second in counts] + list(first_event_times))
    return [
        {
            "second": second,
            "answers": len(first_event_times[second]),
            "p50": find_quantile(first_event_times[second], 0.5),
            "p99": find_quantile(first_event_times[second], 0.99),
            "done": counts[STORED, second],
            "preempted": counts[PREEMPTED, second],
        }
        for second in range(last + 1)
    ]


def plot_waves(seconds, path):
    """Plot latency, load and batch progress in three panels.

    Parameters
    ----------
    seconds : list of dict
        See `count_by_second`.
    path : path
    """
    figure, (latency, load, batch) = pyplot.subplots(
        3, 1, figsize=(10, 8), sharex=True
    )
    times = [row["second"] for row in seconds]
    for name in ("p50", "p99"):
        values = [
            None if row[name] is None else row[name] * 1000 for row in seconds
        ]
        latency.plot(times, values, marker=".", label=name)
    latency.set_yscale("log")
    latency.set_ylabel("first event (ms)")
    latency.legend()
    load.bar(times, [row["answers"] for row in seconds])
    load.set_ylabel("online answers")
    batch.bar(times, [row["done"] for row in seconds], label="items done")
    batch.plot(
        times,
        [row["preempted"] for row in seconds],
        color="black",
        marker=".",
        label="runs stopped",
    )
    batch.set_ylabel("batch")
    batch.set_xlabel("seconds")
    batch.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


if __name__ == "__main__":
    fire.Fire(main)
