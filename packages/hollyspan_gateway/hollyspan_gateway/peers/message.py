"""One message between gateways."""

__all__ = ["FleetMessage", "UpstreamLoad", "UpstreamTotal"]


class UpstreamLoad:
    """Requests in flight at one upstream from one gateway.

    Parameters
    ----------
    upstream : int
        Hash of its name.
    online, batch : int
    reported : (int, int) or None, optional
        Running and waiting requests as the upstream has just told.
    is_unreachable : bool, optional
        True when the sender has just failed to connect to it.
    """

    __slots__ = ("upstream", "online", "batch", "reported", "is_unreachable")

    def __init__(
        self,
        *,
        upstream,
        online,
        batch,
        reported=None,
        is_unreachable=False,
    ):
        self.upstream = upstream
        self.online = online
        self.batch = batch
        self.reported = reported
        self.is_unreachable = is_unreachable


class UpstreamTotal:
    """Requests in flight at one upstream from all gateways.

    Parameters
    ----------
    upstream : int
        Hash of its name.
    online, batch : int
    """

    __slots__ = ("upstream", "online", "batch")

    def __init__(self, *, upstream, online, batch):
        self.upstream = upstream
        self.online = online
        self.batch = batch


class FleetMessage:
    """Load, and in full messages the state, of one gateway.

    Parameters
    ----------
    sender : int
        Hash of its name.
    incarnation : int
        Start time, microseconds since the epoch.
    sequence : int
    is_full : bool
        Loads that are not named are zero.
    loads : list of UpstreamLoad
    configuration, upstreams : int, optional
        Revisions in the store of what the sender knows.
    runs_batch, is_leaving, reaches_store : bool, optional
    items : list of int, optional
        Hashes of the items that run there.
    wants_reply : bool, optional
    heard : list of int, optional
        Hashes of the gateways that run items and that the sender hears.
    region : int, optional
        Hash of the sender's region.
    beat_seconds : float, optional
        Time until the next full message.
    totals : list of UpstreamTotal, optional
        The load of the sender's region, for gateways of other ones.
    """

    __slots__ = (
        "sender",
        "incarnation",
        "sequence",
        "is_full",
        "loads",
        "configuration",
        "upstreams",
        "runs_batch",
        "is_leaving",
        "reaches_store",
        "items",
        "wants_reply",
        "heard",
        "region",
        "beat_seconds",
        "totals",
    )

    def __init__(
        self,
        *,
        sender,
        incarnation,
        sequence,
        is_full,
        loads,
        configuration=0,
        upstreams=0,
        runs_batch=False,
        is_leaving=False,
        reaches_store=False,
        items=(),
        wants_reply=False,
        heard=(),
        region=0,
        beat_seconds=0.0,
        totals=(),
    ):
        self.sender = sender
        self.incarnation = incarnation
        self.sequence = sequence
        self.is_full = is_full
        self.loads = loads
        self.configuration = configuration
        self.upstreams = upstreams
        self.runs_batch = runs_batch
        self.is_leaving = is_leaving
        self.reaches_store = reaches_store
        self.items = items
        self.wants_reply = wants_reply
        self.heard = heard
        self.region = region
        self.beat_seconds = beat_seconds
        self.totals = totals
