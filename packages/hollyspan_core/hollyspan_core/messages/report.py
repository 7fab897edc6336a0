"""Load of an upstream as polled by its owner."""

__all__ = ["UpstreamLoadReport"]


class UpstreamLoadReport:
    """Load report of an upstream, distributed by the upstream's owner.

    Parameters
    ----------
    upstream : str
    waiting, running : int
        Numbers of requests in the upstream's last load report.
    reachable : bool
        False if the upstream does not answer.
    """

    __slots__ = ("upstream", "waiting", "running", "reachable")

    def __init__(self, *, upstream, waiting, running, reachable):
        self.upstream = upstream
        self.waiting = waiting
        self.running = running
        self.reachable = reachable


def write_report(report, target):
    """Write a report to a message builder."""
    target.upstream = report.upstream
    target.waiting = report.waiting
    target.running = report.running
    target.reachable = report.reachable


def read_report(source):
    """Return the report in a message reader."""
    return UpstreamLoadReport(
        upstream=source.upstream,
        waiting=source.waiting,
        running=source.running,
        reachable=source.reachable,
    )
