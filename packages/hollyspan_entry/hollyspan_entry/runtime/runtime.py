"""Shared state of one daemon."""

from opentelemetry.metrics import NoOpMeter

from hollyspan_policy.routing import AffinityTable

from .announcements import Announcements
from .departures import Departures

__all__ = ["Runtime"]


class Runtime:
    """What the parts of one daemon share.

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
        Root of the HTTP interface; each part puts its resources there.
    incarnation : int
        Start time, microseconds since the epoch.
    create_token : callable
        Returns 16 new random bytes.

    Attributes
    ----------
    draining : bool
        True once the daemon is about to stop.
    drain_hooks : list of callable
        Coroutine functions that are run together at a planned stop, once
        new requests are refused.
    drain_listeners : list of callable
        Called without arguments as soon as a planned stop begins.
    checks : dict
        Functions by name that return True when a part is ready.
    seeds : dict
        Seed by instance, from the instance list.
    departures : Departures
        Upstreams that were announced as leaving.
    cancelled_jobs : Announcements
        Jobs whose cancel is passed on between daemons.
    owners : Owners or None
        Which daemon owns an upstream.
    peer_counters : PeerCounters or None
        Traffic between daemons.
    file_sources : list of callable
        Coroutine functions that take a workspace and a file and return its
        FileContent, or None for a file of another kind.
    file_users : list of callable
        Coroutine functions that tell of a file whether it is needed.
    links : Links or None
        TCP links to other daemons.
    forward : callable or None
        Coroutine function that hands an online request to another data
        centre.
    serve_forward : callable or None
        Coroutine function that runs a request of another data centre here.
    burn : Burn or None
        Service-level counters.
    affinity : AffinityTable
        Which upstream holds which prompt blocks.
    meter : opentelemetry.metrics.Meter
        Creates instruments.
    request_listeners : list of callable
        Called with a RequestMeasurements at the end of each online request.
    online : OnlineState or None
        Limits, retry budget and runs that online requests share.
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
        "drain_hooks",
        "drain_listeners",
        "checks",
        "seeds",
        "departures",
        "cancelled_jobs",
        "owners",
        "peer_counters",
        "file_sources",
        "file_users",
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
        self.drain_hooks = []
        self.drain_listeners = []
        self.checks = {}
        self.seeds = {}
        self.departures = Departures()
        self.cancelled_jobs = Announcements()
        self.owners = None
        self.peer_counters = None
        self.file_sources = []
        self.file_users = []
        self.links = None
        self.forward = None
        self.serve_forward = None
        self.burn = None
        self.affinity = AffinityTable()
        self.meter = NoOpMeter("hollyspan")
        self.request_listeners = []
        self.online = None
