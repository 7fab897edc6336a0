"""Load that an upstream tells with its answers."""

__all__ = ["LoadReport", "describe_report"]


class LoadReport:
    """Load of an upstream at the time of an answer.

    Parameters
    ----------
    running, waiting : int
        Requests that it runs and those in its queue, from whomever.
    slots : int or None, optional
        Requests that it can run at the same time; peers do not pass them on.
    slowness : float or None, optional
        How long work takes there at the moment, 1.0 as usual; None if the
        upstream does not tell it.
    """

    __slots__ = ("running", "waiting", "slots", "slowness")

    def __init__(self, *, running, waiting, slots=None, slowness=None):
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.slowness = slowness


def describe_report(report):
    """Return the fields of a log line for a report or None."""
    if report is None:
        return {"reported": None}
    fields = {"reported": [report.running, report.waiting, report.slots]}
    if report.slowness is not None:
        fields["reported_slowness"] = report.slowness
    return fields
