"""How long processes waited for a processor."""

import bisect
from contextlib import contextmanager
import threading
import time

__all__ = ["RunDelays", "sample_run_delays"]

# Seconds between two samples: a fraction of the shortest bound that is
# compared with them.
SAMPLE_SECONDS = 0.02
# Nanoseconds, the unit of the kernel's figures.
NANOSECOND = 1e-9


class RunDelays:
    """Time that processes were runnable but had no processor.

    Attributes
    ----------
    times : list of float
        Seconds since the epoch, of each sample.
    totals : list of dict
        Delay of each process by its name since its first start, seconds, at
        each of these times.
    """

    def __init__(self):
        self.times = []
        self.totals = []

    def add(self, at, totals):
        """Add a sample."""
        self.times.append(at)
        self.totals.append(totals)

    def measure(self, names, since, until):
        """Return the delay of some processes together in a span of time.

        Parameters
        ----------
        names : iterable of str
        since, until : float
            Seconds since the epoch.

        Returns
        -------
        float
            Seconds, from the last sample before the span to the first one
            after it. Delays of different processes add up, since a notice
            passes through one after the other.
        """
        if not self.times:
            return 0.0
        first = max(0, bisect.bisect_right(self.times, since) - 1)
        last = min(len(self.times) - 1, bisect.bisect_left(self.times, until))
        before, after = self.totals[first], self.totals[last]
        return sum(
            after.get(name, 0.0) - before.get(name, 0.0) for name in names
        )


@contextmanager
def sample_run_delays(deployment, names):
    """Sample the run delays of processes of a deployment.

    Parameters
    ----------
    deployment : Deployment
    names : iterable of str

    Yields
    ------
    RunDelays

    Notes
    -----
    A thread of the tests' process takes the samples, since the tests wait
    for answers meanwhile. A process that is started again counts on from
    what its predecessor had.
    """
    delays = RunDelays()
    ended = threading.Event()
    ran = {name: {} for name in names}

    def sample():
        for name, by_pid in ran.items():
            child = deployment.find(name).child
            spent = None if child is None else read_run_delay(child.pid)
            if spent is not None:
                by_pid[child.pid] = spent
        totals = {name: sum(each.values()) for name, each in ran.items()}
        delays.add(time.time(), totals)

    def run():
        while not ended.wait(SAMPLE_SECONDS):
            sample()

    sample()
    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    try:
        yield delays
    finally:
        ended.set()
        thread.join()


def read_run_delay(pid):
    """Return how long a process has waited for a processor, seconds.

    Returns
    -------
    float or None
        None when the process has ended or the kernel does not tell.
    """
    try:
        with open(f"/proc/{pid}/schedstat", encoding="ascii") as stream:
            fields = stream.read().split()
    except OSError:
        return None
    return int(fields[1]) * NANOSECOND if len(fields) > 1 else None
