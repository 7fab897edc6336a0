"""Run delays: time that processes spent runnable without a processor."""

import bisect
from contextlib import contextmanager
import threading
import time

__all__ = ["RunDelays", "sample_run_delays"]

# A fraction of the shortest time limit that delays are compared with.
SAMPLE_INTERVAL_S = 0.02
# The kernel reports run delays in nanoseconds.
SECONDS_PER_NANOSECOND = 1e-9


class RunDelays:
    """Samples of the cumulative run delays of processes.

    Attributes
    ----------
    times : list of float
        Time of each sample, in seconds since the epoch.
    totals : list of dict
        Run delay of each process since its first start, in seconds by
        process name, for each sample.
    """

    def __init__(self):
        self.times = []
        self.totals = []

    def add(self, at, totals):
        """Add a sample taken at a time in seconds since the epoch."""
        self.times.append(at)
        self.totals.append(totals)

    def measure(self, names, since, until):
        """Return the total run delay of some processes in an interval.

        Parameters
        ----------
        names : iterable of str
        since, until : float
            Bounds of the interval, in seconds since the epoch.

        Returns
        -------
        float
            Seconds between the last sample before the interval and the first
            one after it. The delays of the processes are added up because a
            notice passes through the processes one after the other.
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
    """Sample the run delays of processes while the block runs.

    Parameters
    ----------
    deployment : Deployment
    names : iterable of str

    Yields
    ------
    RunDelays

    Notes
    -----
    The samples are taken in a thread because the test itself blocks while
    it waits for answers. When a process is restarted, the delay of its
    predecessor is kept in its total.
    """
    delays = RunDelays()
    stopped = threading.Event()
    delays_by_process = {name: {} for name in names}

    def sample():
        for name, delays_by_pid in delays_by_process.items():
            child = deployment.find(name).child
            run_delay = None if child is None else read_run_delay(child.pid)
            if run_delay is not None:
                delays_by_pid[child.pid] = run_delay
        totals = {
            name: sum(process_delays.values())
            for name, process_delays in delays_by_process.items()
        }
        delays.add(time.time(), totals)

    def run():
        while not stopped.wait(SAMPLE_INTERVAL_S):
            sample()

    sample()
    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    try:
        yield delays
    finally:
        stopped.set()
        thread.join()


def read_run_delay(pid):
    """Return the cumulative run delay of a process in seconds.

    Returns
    -------
    float or None
        None if the process has ended or the kernel does not provide the
        figure.
    """
    try:
        with open(f"/proc/{pid}/schedstat", encoding="ascii") as stream:
            fields = stream.read().split()
    except OSError:
        return None
    return int(fields[1]) * SECONDS_PER_NANOSECOND if len(fields) > 1 else None
