"""What a daemon knows of an upstream when it decides."""

__all__ = ["UpstreamView"]


class UpstreamView:
    """One upstream as seen by one daemon at one moment.

    Parameters
    ----------
    name : str
    data_centre : str
    slots : int
        Streams that the upstream runs at once.
    online : int
        Online requests in flight from all daemons, as far as known.
    batch : int
        Batch streams in flight from all daemons, as far as known.
    waiting : int
        Queue length of the last load report.
    report_age : float or None
        Age of the last load report, seconds; None without one.
    hidden : int
        Streams that the load reports show and no daemon tells of.
    yields : bool
        False when no owner is heard that makes batch streams give way.
    serving : bool
        False when the upstream is leaving or cannot be reached.
    """

    __slots__ = (
        "name",
        "data_centre",
        "slots",
        "online",
        "batch",
        "waiting",
        "report_age",
        "hidden",
        "yields",
        "serving",
    )

    def __init__(
        self,
        *,
        name,
        data_centre,
        slots,
        online=0,
        batch=0,
        waiting=0,
        report_age=None,
        hidden=0,
        yields=True,
        serving=True,
    ):
        self.name = name
        self.data_centre = data_centre
        self.slots = slots
        self.online = online
        self.batch = batch
        self.waiting = waiting
        self.report_age = report_age
        self.hidden = hidden
        self.yields = yields
        self.serving = serving
