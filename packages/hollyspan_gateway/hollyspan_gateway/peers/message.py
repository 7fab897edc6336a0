"""Messages between gateways."""

__all__ = ["FleetMessage", "UpstreamLoad", "UpstreamTotal", "WorkspaceLoad"]


class UpstreamLoad:
    """Requests in flight at one upstream from one gateway.

    Parameters
    ----------
    upstream : int
        Hash of its name.
    online, batch : int
        Online requests and batch items in flight.
    reported : LoadReport or None, optional
        What the upstream has just told the sender of its load.
    is_unreachable : bool, optional
        True when the sender has just failed to connect to it.
    departure : int, optional
        Key of its incarnation when it has just announced its shutdown to the
        sender, else 0.
    limit : LimitReport, optional
        What it has last said of its rate limit.
    run_slowness : float or None, optional
        How long a run there that has just ended took, relative to the usual
        of such runs at the sender.
    pace : PaceReport, optional
        What its answers show of its pace.
    heard_age : float or None, optional
        Seconds since the sender has received bytes of its answers.
    """

    __slots__ = (
        "upstream",
        "online",
        "batch",
        "reported",
        "is_unreachable",
        "departure",
        "limit",
        "run_slowness",
        "pace",
        "heard_age",
    )

    def __init__(
        self,
        *,
        upstream,
        online,
        batch,
        reported=None,
        is_unreachable=False,
        departure=0,
        limit=None,
        run_slowness=None,
        pace=None,
        heard_age=None,
    ):
        self.upstream = upstream
        self.online = online
        self.batch = batch
        self.reported = reported
        self.is_unreachable = is_unreachable
        self.departure = departure
        self.limit = limit
        self.run_slowness = run_slowness
        self.pace = pace
        self.heard_age = heard_age


class UpstreamTotal:
    """Requests in flight at one upstream from all gateways.

    Parameters
    ----------
    upstream : int
        Hash of its name.
    online, batch : int
        Online requests and batch items in flight.
    limit : LimitReport, optional
        What it has last said of its rate limit.
    pace : PaceReport, optional
        What its answers show of its pace.
    """

    __slots__ = ("upstream", "online", "batch", "limit", "pace")

    def __init__(self, *, upstream, online, batch, limit=None, pace=None):
        self.upstream = upstream
        self.online = online
        self.batch = batch
        self.limit = limit
        self.pace = pace


class WorkspaceLoad:
    """Recent demand of one workspace for one service at one gateway.

    Parameters
    ----------
    workspace : int
        Hash of its name and of the service's.
    demand : float
        Work that it has recently asked for, tokens a second.
    """

    __slots__ = ("workspace", "demand")

    def __init__(self, *, workspace, demand):
        self.workspace = workspace
        self.demand = demand


class FleetMessage:
    """Load of one gateway, and in a full message also its state.

    Parameters
    ----------
    sender : int
        Hash of its name.
    incarnation : int
        Start time, microseconds since the epoch.
    sequence : int
        Number of the message within the incarnation.
    is_full : bool
        True when upstreams that `loads` does not contain have no load.
    loads : list of UpstreamLoad
    configuration, upstreams : int, optional
        Store revisions of the configuration in force and of the last change
        of the upstreams' entries at the sender.
    runs_batch, is_leaving, reaches_store : bool, optional
    items : list of int, optional
        Hashes of the items that the sender works on.
    progress : list of int, optional
        A number for each of the items that changes with its progress; none
        from a sender that does not tell it.
    tells_waiting : bool, optional
        True when the items include those between two runs and those whose
        result is being stored.
    finished : list of int, optional
        Hashes of jobs and of the gateways that share their items: those of
        the sender have results in the store.
    crowded_jobs : list of int, optional
        Hashes of jobs of which more items wait at the sender, between two
        runs, than it names; 0 stands for any job.
    jobs : int, optional
        Store revision of the last change of jobs at the sender, 0 if it does
        not follow them.
    job_room : int or None, optional
        Bytes that descriptions of further jobs may take at the sender; None
        if it does not tell, or holds no job.
    wants_reply : bool, optional
        True when the receiver is to send a full message back.
    live_workers : list of int, optional
        Hashes of the gateways that run items and are live at the sender.
    region : int, optional
        Hash of the sender's region.
    heartbeat_seconds : float, optional
        Time until the next full message.
    runs_online : bool, optional
        Whether the sender runs requests, also those of other gateways.
    lost_share : float, optional
        Share of the upstreams that the sender cannot reach, 0 to 1.
    memory_seconds : float, optional
        Time for which the sender remembers streams, infinity if it has
        forgotten none.
    totals : list of UpstreamTotal, optional
        Total loads of the upstreams of the sender's region, for gateways of
        other regions.
    departures : list of int, optional
        Keys of the upstreams' incarnations that have announced their shutdown
        in an answer, to the sender or to one of its peers.
    ends : list of EndNotice, optional
    survivals : list of SurvivalNotice, optional
    blocks : list of BlockNotice, optional
    streams : list of StreamNotice, optional
    asked_streams : list of int, optional
        Keys of the streams whose version the sender asks for.
    other_ends : list of OtherEndNotice, optional
    unproven : list of UnprovenNotice, optional
        Upstreams whose processes may have ended, with the first sign.
    store_age : float or None, optional
        Seconds since the store confirmed the configuration in force at the
        sender; None if it does not tell.
    configuration_age, upstreams_age, jobs_age : float or None, optional
        Seconds since the store had nothing newer of these than the sender;
        None if it does not tell.
    rate_notices : list of RateNotice, optional
    workspace_loads : list of WorkspaceLoad, optional
        Only while there is too little room.
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
        "progress",
        "tells_waiting",
        "finished",
        "crowded_jobs",
        "jobs",
        "job_room",
        "wants_reply",
        "live_workers",
        "region",
        "heartbeat_seconds",
        "runs_online",
        "lost_share",
        "memory_seconds",
        "totals",
        "departures",
        "ends",
        "survivals",
        "blocks",
        "streams",
        "asked_streams",
        "other_ends",
        "unproven",
        "store_age",
        "configuration_age",
        "upstreams_age",
        "jobs_age",
        "rate_notices",
        "workspace_loads",
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
        progress=(),
        tells_waiting=False,
        finished=(),
        crowded_jobs=(),
        jobs=0,
        job_room=None,
        wants_reply=False,
        live_workers=(),
        region=0,
        heartbeat_seconds=0.0,
        runs_online=False,
        lost_share=0.0,
        memory_seconds=0.0,
        totals=(),
        departures=(),
        ends=(),
        survivals=(),
        blocks=(),
        streams=(),
        asked_streams=(),
        other_ends=(),
        unproven=(),
        store_age=None,
        configuration_age=None,
        upstreams_age=None,
        jobs_age=None,
        rate_notices=(),
        workspace_loads=(),
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
        self.progress = progress
        self.tells_waiting = tells_waiting
        self.finished = finished
        self.crowded_jobs = crowded_jobs
        self.jobs = jobs
        self.job_room = job_room
        self.wants_reply = wants_reply
        self.live_workers = live_workers
        self.region = region
        self.heartbeat_seconds = heartbeat_seconds
        self.runs_online = runs_online
        self.lost_share = lost_share
        self.memory_seconds = memory_seconds
        self.totals = totals
        self.departures = departures
        self.ends = ends
        self.survivals = survivals
        self.blocks = blocks
        self.streams = streams
        self.asked_streams = asked_streams
        self.other_ends = other_ends
        self.unproven = unproven
        self.store_age = store_age
        self.configuration_age = configuration_age
        self.upstreams_age = upstreams_age
        self.jobs_age = jobs_age
        self.rate_notices = rate_notices
        self.workspace_loads = workspace_loads
