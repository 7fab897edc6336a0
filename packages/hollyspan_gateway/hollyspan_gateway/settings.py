"""Settings of one gateway."""

from hollyspan_policy.workspace_rates import RateTolerance

__all__ = ["GatewaySettings"]

# Margin before the forced kill at which the last work is ended.
EXIT_MARGIN_S = 0.4


class GatewaySettings:
    """Location, addresses and role of a gateway.

    Parameters
    ----------
    instance : str
        Name of the machine.
    data_centre : str
    regions : dict
        Region by data centre.
    ip : str
    client_port, ready_port : int or None
        None for a gateway that serves no clients.
    peer_port : int
    snapshot_port : int
        Port at which peers read snapshots of the mirrored store entries.
    metrics_port : int
    runs_batch : bool
    store_address : (str, int)
    grace_seconds : float
        Time between the shutdown request and the forced kill.
    withdrawal_seconds : float or None, optional
        Time after the withdrawal of a key from which on no request that is
        sent may run under it; None without such a bound.
    measures_speeds : bool, optional
        Whether the speeds of all upstreams are measured and have a part in
        placement, also where these do not tell how long work takes.
    rate_tolerance : RateTolerance, optional
        How far workspaces may exceed their rates for a moment.
    paces_upstreams : bool, optional
        Whether upstreams that have started or recovered get as much as their
        answers show that they can serve.
    memory_bytes : int or None, optional
        Memory that the process may use; None if it is not known.
    """

    __slots__ = (
        "instance",
        "data_centre",
        "regions",
        "ip",
        "client_port",
        "ready_port",
        "peer_port",
        "snapshot_port",
        "metrics_port",
        "runs_batch",
        "store_address",
        "grace_seconds",
        "withdrawal_seconds",
        "measures_speeds",
        "rate_tolerance",
        "paces_upstreams",
        "memory_bytes",
    )

    def __init__(
        self,
        *,
        instance,
        data_centre,
        regions,
        ip,
        client_port,
        ready_port,
        peer_port,
        snapshot_port,
        metrics_port,
        runs_batch,
        store_address,
        grace_seconds,
        withdrawal_seconds=None,
        measures_speeds=False,
        rate_tolerance=None,
        paces_upstreams=False,
        memory_bytes=None,
    ):
        self.instance = instance
        self.data_centre = data_centre
        self.regions = regions
        self.ip = ip
        self.client_port = client_port
        self.ready_port = ready_port
        self.peer_port = peer_port
        self.snapshot_port = snapshot_port
        self.metrics_port = metrics_port
        self.runs_batch = runs_batch
        self.store_address = store_address
        self.grace_seconds = grace_seconds
        self.withdrawal_seconds = withdrawal_seconds
        self.measures_speeds = measures_speeds
        self.rate_tolerance = rate_tolerance or RateTolerance()
        self.paces_upstreams = paces_upstreams
        self.memory_bytes = memory_bytes

    @property
    def work_seconds(self):
        """Time after the shutdown request at which the last work is ended."""
        return max(0.0, self.grace_seconds - EXIT_MARGIN_S)

    @property
    def region(self):
        """Region of this gateway."""
        return self.find_region(self.data_centre)

    def find_region(self, data_centre):
        """Return the region of a data centre, or its name if unknown."""
        return self.regions.get(data_centre, data_centre)
