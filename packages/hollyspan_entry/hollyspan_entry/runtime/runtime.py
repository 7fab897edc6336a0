"""Shared state of one daemon."""

from opentelemetry.metrics import NoOpMeter

from hollyspan_policy.routing import AffinityTable

from .announcements import Announcements
from .departures import Departures

__all__ = ["Runtime"]


class Runtime:
    """State that the parts of one daemon share.

    Parameters
    ----------
    settings : Settings
    reactor : twisted reactor
    agent : IAgent
        Client for upstreams, with persistent connections.
    store : Store
    configurations : ConfigurationHolder
    upstreams : UpstreamRegistry
    members : MemberTable
    root : twisted.web.resource.Resource
        Root of the HTTP interface, to which each part adds its resources.
    incarnation : int
        Start time in microseconds since the epoch.
    create_token : callable
        Returns 16 new random bytes.

    Attributes
    ----------
    draining : bool
        True once a planned stop has begun.
    stops_at : float or None
        Time at which a planned stop ends the requests that are left, at the
        earliest, monotonic seconds; None while no stop has begun.
    drain_hooks : list of callable
        Coroutine functions that are run concurrently at a planned stop, once
        new requests are refused.
    drain_listeners : list of callable
        Called without arguments as soon as a planned stop begins.
    readiness_checks : dict
        Functions by name; each returns True if its part is ready.
    seeds : dict
        Seed of each daemon in the instance list, by instance.
    departures : Departures
        Upstreams that were announced as leaving.
    cancelled_jobs : Announcements
        Jobs whose cancellation is sent to other daemons.
    owners : Owners or None
        Owner of each upstream among the daemons.
    peer_counters : PeerCounters or None
        Counters of the traffic between daemons.
    file_sources : list of callable
        Coroutine functions; each takes a workspace and a file and returns
        the FileContent, or None for a file of another kind.
    file_usage_checks : list of callable
        Coroutine functions that return whether a file is still needed.
    links : LinkPool or None
        TCP links to other daemons.
    forward : callable or None
        Coroutine function that forwards an online request to another data
        centre.
    serve_forward : callable or None
        Coroutine function that runs a request forwarded by another data
        centre.
    burn : BurnCounters or None
        Service-level counters.
    affinity : AffinityTable
        Prompt blocks that each upstream has cached.
    meter : opentelemetry.metrics.Meter
        Meter that creates metric instruments.
    request_listeners : list of callable
        Called with a RequestMeasurements at the end of each online request.
    online : OnlineState or None
        Limits, retry budget and runs shared by online requests.
    """

    __slots__ = (
        "settings",
        "reactor",
        "agent",
        "store",
        "configurations",
        "upstreams",
        "members",
        "root",
        "incarnation",
        "create_token",
        "draining",
        "stops_at",
        "drain_hooks",
        "drain_listeners",
        "readiness_checks",
        "seeds",
        "departures",
        "cancelled_jobs",
        "owners",
        "peer_counters",
        "file_sources",
        "file_usage_checks",
        "links",
        "forward",
        "serve_forward",
        "burn",
        "affinity",
        "meter",
        "request_listeners",
        "online",
    )

    def __init__(
        self,
        *,
        settings,
        reactor,
        agent,
        store,
        configurations,
        upstreams,
        members,
        root,
        incarnation,
        create_token,
    ):
        self.settings = settings
        self.reactor = reactor
        self.agent = agent
        self.store = store
        self.configurations = configurations
        self.upstreams = upstreams
        self.members = members
        self.root = root
        self.incarnation = incarnation
        self.create_token = create_token
        self.draining = False
        self.stops_at = None
        self.drain_hooks = []
        self.drain_listeners = []
        self.readiness_checks = {}
        self.seeds = {}
        self.departures = Departures()
        self.cancelled_jobs = Announcements()
        self.owners = None
        self.peer_counters = None
        self.file_sources = []
        self.file_usage_checks = []
        self.links = None
        self.forward = None
        self.serve_forward = None
        self.burn = None
        self.affinity = AffinityTable()
        self.meter = NoOpMeter("hollyspan")
        self.request_listeners = []
        self.online = None
