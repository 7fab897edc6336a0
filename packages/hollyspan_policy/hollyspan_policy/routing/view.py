"""Load of an upstream as input to routing decisions."""

__all__ = ["UpstreamView"]


class UpstreamView:
    """State of one upstream as known to one daemon at one moment.

    Parameters
    ----------
    name : str
    data_centre : str
    slots : int
        Streams that the upstream runs concurrently.
    online : int
        Known online requests in flight from all daemons.
    batch : int
        Known batch streams in flight from all daemons.
    waiting : int
        Queue length in the last load report.
    report_age : float or None
        Age of the last load report, seconds; None without one.
    hidden : int
        Streams in the load reports that no daemon has announced.
    batch_yields : bool
        Whether batch streams yield to online requests. False when no live
        owner of the upstream would preempt them.
    serving : bool
        False when the upstream is leaving or unreachable.
    reserve_cost : float
        Delay in seconds that is accepted elsewhere to keep this upstream in
        reserve.
    slowness : float
        How long work takes there, 1.0 as usual.
    allowed : int or None
        Requests and streams that may be in flight there now from all daemons
        together; None without a pace. See `hollyspan_policy.pace`.
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
        "batch_yields",
        "serving",
        "reserve_cost",
        "slowness",
        "allowed",
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
        batch_yields=True,
        serving=True,
        reserve_cost=0.0,
        slowness=1.0,
        allowed=None,
    ):
        self.name = name
        self.data_centre = data_centre
        self.slots = slots
        self.online = online
        self.batch = batch
        self.waiting = waiting
        self.report_age = report_age
        self.hidden = hidden
        self.batch_yields = batch_yields
        self.serving = serving
        self.reserve_cost = reserve_cost
        self.slowness = slowness
        self.allowed = allowed
