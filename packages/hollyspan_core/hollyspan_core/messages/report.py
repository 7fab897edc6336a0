"""Load of an upstream as its owner polled it."""

__all__ = ["Report"]


class Report:
    """What the owner of an upstream tells the others of it.

    Parameters
    ----------
    upstream : str
    waiting, running : int
        Of the upstream's last load report.
    reachable : bool
        False when the upstream does not answer.
    """

    __slots__ = ("upstream", "waiting", "running", "reachable")

    def __init__(self, *, upstream, waiting, running, reachable):
        self.upstream = upstream
        self.waiting = waiting
        self.running = running
        self.reachable = reachable


def write_report(report, target):
    """Fill a message builder with a report."""
    target.upstream = report.upstream
    target.waiting = report.waiting
    target.running = report.running
    target.reachable = report.reachable


def read_report(source):
    """Return the report in a message reader."""
    return Report(
        upstream=source.upstream,
        waiting=source.waiting,
        running=source.running,
        reachable=source.reachable,
    )
